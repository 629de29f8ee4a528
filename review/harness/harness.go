// Package harness runs the cases of the review. It starts gateways as separate
// processes, with the command and the template of the deploy file, in front of
// stand-ins of the platform's store and of backend servers. It records what was
// sent, answered and run, and ends all processes that it started.
package harness

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/galenalatch/galenalatch/platform/standin"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// Case is one run of a case.
type Case struct {
	// Trouble is false if the run leaves out the disruption.
	Trouble bool
	Store   *standin.Store

	dir      string
	start    time.Time
	mu       sync.Mutex
	record   *os.File
	broken   bool
	children []*exec.Cmd
}

// Main runs a case and ends the process with its exit code. The working folder is
// that of the case.
func Main(run func(*Case) error) {
	os.Exit(runCase(run))
}

func runCase(run func(*Case) error) int {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if c.record, err = os.Create("record.txt"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = c.record.Close() }()
	if c.dir, err = os.MkdirTemp("", "review"); err != nil {
		c.Record("cannot run: %v", err)
		return failed
	}
	defer func() { _ = os.RemoveAll(c.dir) }()
	defer c.endChildren()
	c.Record("disruption: %t", c.Trouble)
	if c.Store, err = standin.NewStore(); err == nil {
		err = run(c)
	}
	switch {
	case err != nil:
		c.Record("cannot run: %v", err)
		return failed
	case c.broken:
		c.Record("result: the rule was broken")
		return broken
	}
	c.Record("result: the rule held")
	return held
}

// Record writes a line to the record, with the time since the start in seconds.
func (c *Case) Record(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%7.3f %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, values...))
	_, _ = c.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// Broken records that the rule was broken.
func (c *Case) Broken(format string, values ...any) {
	c.Record("BROKEN "+format, values...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = true
}

// Root is the root of the repository, seen from the folder of a case.
const Root = "../.."

// Start starts a program of the repository as a child. Its standard output goes to
// out, or to a file that is named after the child if out is nil.
func (c *Case) Start(name string, out *os.File, program string, args ...string) (*exec.Cmd, error) {
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	path, err := filepath.Abs(filepath.Join(Root, program))
	if err != nil {
		return nil, err
	}
	k := exec.Command(path, args...)
	k.Dir, k.Stdout, k.Stderr = Root, log, log
	if out != nil {
		k.Stdout = out
	}
	// The kernel ends the child if this process dies.
	k.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := k.Start(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.children = append(c.children, k)
	return k, nil
}

func (c *Case) endChildren() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.children {
		// The child may have ended already.
		_ = k.Process.Kill()
		_ = k.Wait()
	}
}

// Ports are below the range of outgoing connections, which could take one between its
// choice and its use.
const (
	firstPort = 15000
	portCount = 15000
)

// nextPort is the port to try next, counted from firstPort.
var nextPort = rand.IntN(portCount)

// FreeAddress returns a loopback address on which nothing listens. It is not safe for
// concurrent use.
func FreeAddress() (string, error) {
	for range portCount {
		nextPort = (nextPort + 1) % portCount
		address := fmt.Sprint("127.0.0.1:", firstPort+nextPort)
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no free port")
}

// Gateway is a gateway process.
type Gateway struct {
	ID      string
	Caller  string
	Process *os.Process
	ready   string
}

// settings are the values of the template, by placeholder. The bounds are those of
// the site bmvfu-latch.
func settings(id, zone, caller, ready, peer, metrics, store string) *strings.Replacer {
	quote := func(s string) string { return `"` + s + `"` }
	return strings.NewReplacer(
		"{{nodeName|json}}", quote(id), "{{zone|json}}", quote(zone),
		"{{listenAddrs.front|json}}", quote(caller), "{{listenAddrs.ready|json}}", quote(ready),
		"{{ip}}:{{internalPorts.0}}", peer, "{{ip}}:7401", metrics, "{{platform.address|json}}", quote(store),
		"{{limits.memoryMb}}", "284", "{{limits.maxFds}}", "4100",
		"{{bounds.configApplyMs}}", "2000", "{{bounds.revokeMs}}", "5000", "{{bounds.passMs}}", "120",
		"{{bounds.graceS}}", "8", "{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.retrySlack}}", "56",
		"{{bounds.retryWindowS}}", "10", "{{bounds.coldOver}}", "1.5", "{{bounds.coldSlack}}", "5",
	)
}

// StartGateway starts a gateway that reaches the store at an address.
func (c *Case) StartGateway(id, zone, store string) (*Gateway, error) {
	template, err := os.ReadFile(filepath.Join(Root, "deploy/gateway.json.tmpl"))
	if err != nil {
		return nil, err
	}
	var addresses [4]string
	for i := range addresses {
		if addresses[i], err = FreeAddress(); err != nil {
			return nil, err
		}
	}
	path := filepath.Join(c.dir, id+".json")
	text := settings(id, zone, addresses[0], addresses[1], addresses[2], addresses[3], store).Replace(string(template))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	k, err := c.Start(id, nil, "target/galenalatch", "gateway", "--settings", path)
	if err != nil {
		return nil, err
	}
	return &Gateway{ID: id, Caller: addresses[0], ready: addresses[1], Process: k.Process}, nil
}

// AwaitReady waits until a gateway is ready.
func (c *Case) AwaitReady(g *Gateway) error {
	for range 200 {
		a, err := http.Get("http://" + g.ready + "/-/ready")
		if err == nil {
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				c.Record("%s is ready", g.ID)
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", g.ID)
}

// Worker is the stand-in of a backend server in a process of its own.
type Worker struct {
	ID      string
	Address string
	Service string
	Zone    string
	Process *os.Process
	born    int64

	mu   sync.Mutex
	runs []Run
}

// Run is a line that a worker has written: an arrival, a run or its end.
type Run struct {
	At    time.Time `json:"at"`
	What  string    `json:"what"`
	ID    string    `json:"id"`
	Cause string    `json:"cause,omitempty"`
}

// StartWorker starts a worker of a service. args are further arguments of the program.
func (c *Case) StartWorker(id, service, zone string, args ...string) (*Worker, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	in, out, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	k, err := c.Start(id, out, "target/review/worker", append([]string{"--id", id, "--listen", address}, args...)...)
	_ = out.Close()
	if err != nil {
		return nil, err
	}
	w := &Worker{ID: id, Address: address, Service: service, Zone: zone, Process: k.Process, born: time.Now().UnixMilli()}
	go w.run(c, in)
	for range 100 {
		n, err := net.Dial("tcp", address)
		if err == nil {
			return w, n.Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, fmt.Errorf("worker %s does not listen", id)
}

// run reads the lines of the worker until it ends.
func (w *Worker) run(c *Case, in *os.File) {
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		var r Run
		if json.Unmarshal(lines.Bytes(), &r) != nil {
			continue
		}
		w.mu.Lock()
		w.runs = append(w.runs, r)
		w.mu.Unlock()
		c.Record("worker %s: %s %s %s", w.ID, r.What, r.ID, r.Cause)
	}
	c.Record("worker %s: its output has ended", w.ID)
	_ = in.Close()
}

// Runs returns what the worker has written.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// Ran reports whether the worker began to run a request.
func (w *Worker) Ran(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.runs, func(r Run) bool { return r.What == "runs" && r.ID == id })
}

// Register writes the entry of a worker, as the worker does, and waits for the
// acknowledgement.
func (c *Case) Register(w *Worker, state string, coldLeft time.Duration) error {
	c.Record("store: servers/%s is %s, cold for %s", w.ID, state, coldLeft)
	return c.Store.Put("servers", w.ID, map[string]any{
		"service": w.Service, "address": w.Address, "zone": w.Zone, "version": "v1", "slots": 64, "state": state,
		"coldLeftMs": coldLeft.Milliseconds(), "stage": "both", "sequence": 1, "born": w.born,
	})
}

// Object is a JSON object of the operators' configuration.
type Object = map[string]any

// Host is the host of all routes.
const Host = "desk.example"

// Routes are the kinds of request of the site bmvfu-latch that the cases use, on
// public routes.
var Routes = []Object{
	{"name": "ask", "host": Host, "prefix": "/ask/", "kind": "streaming", "timeoutMs": 12000, "targetLatencyMs": 500, "priority": 1, "service": "pool", "maxAttempts": 2, "public": true, "sticky": true, "streamResume": true, "gapAimMs": 300},
	{"name": "summary", "host": Host, "prefix": "/summary/", "kind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 600, "priority": 1, "service": "pool", "maxAttempts": 1, "public": true, "sticky": true, "streamResume": false, "gapAimMs": 300},
	{"name": "log", "host": Host, "prefix": "/log/", "kind": "non_idempotent", "timeoutMs": 1000, "targetLatencyMs": 100, "priority": 2, "service": "desk", "maxAttempts": 1, "public": true},
	{"name": "status", "host": Host, "prefix": "/status/", "kind": "idempotent", "timeoutMs": 1000, "targetLatencyMs": 100, "priority": 2, "service": "desk", "maxAttempts": 2, "public": true},
}

// Configure writes a version of the configuration, as the operator does.
func (c *Case) Configure(version int, idleTimeout time.Duration) error {
	c.Record("store: op/config has version %d, idleTimeoutMs %d", version, idleTimeout.Milliseconds())
	return c.Store.Put("op", "config", Object{
		"version": version, "routes": Routes,
		"services": []Object{
			{"name": "pool", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 7.3, "engine": Object{"slots": 64, "kvCapacityTokens": 493270}},
			{"name": "desk", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0},
		},
		"limits":  Object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": idleTimeout.Milliseconds(), "tokensPerS": 350000},
		"tenants": []Object{{"name": "studio", "keys": []string{"key-1"}, "priority": 1}},
	})
}

// Connection is a connection of a client to a gateway.
type Connection struct {
	c      *Case
	conn   net.Conn
	reader *bufio.Reader
}

// Connect opens a connection to a gateway.
func (c *Case) Connect(g *Gateway) (*Connection, error) {
	n, err := net.Dial("tcp", g.Caller)
	if err != nil {
		return nil, err
	}
	return &Connection{c: c, conn: n, reader: bufio.NewReader(n)}, nil
}

// Close closes the connection.
func (k *Connection) Close() { _ = k.conn.Close() }

// Write sends a part of a request.
func (k *Connection) Write(s string) error {
	_, err := k.conn.Write([]byte(s))
	return err
}

// Answer is what a client got for a request. Err is set if it got no complete answer;
// Status is 0 if it got no head.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

// Complete reports whether the answer is a complete success.
func (a Answer) Complete() bool { return a.Err == nil && a.Status/100 == 2 }

// String implements fmt.Stringer.
func (a Answer) String() string {
	end := "complete"
	if a.Err != nil {
		end = fmt.Sprintf("not complete: %v", a.Err)
	}
	return fmt.Sprintf("status %d, seal %q, %d bytes, %s", a.Status, a.Header.Get("Response-Seal"), len(a.Body), end)
}

// Do sends a request and reads its answer to the end. deadline is the value of
// Deadline-Ms, header are further lines of the head.
func (k *Connection) Do(id, method, target string, deadline time.Duration, header ...string) Answer {
	k.c.Record("client: sends %s %s %s", id, method, target)
	a := k.do(id, method, target, deadline, header)
	k.c.Record("client: answer to %s: %s", id, a)
	return a
}

func (k *Connection) do(id, method, target string, deadline time.Duration, header []string) Answer {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, target, Host, id, deadline.Milliseconds())
	for _, line := range header {
		head += line + "\r\n"
	}
	if method == http.MethodPost {
		head += "Content-Length: 0\r\n"
	}
	if err := k.conn.SetDeadline(time.Now().Add(deadline + time.Second)); err != nil {
		return Answer{Err: err}
	}
	if _, err := k.conn.Write([]byte(head + "\r\n")); err != nil {
		return Answer{Err: err}
	}
	r, err := http.ReadResponse(k.reader, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: fmt.Errorf("no head: %w", err)}
	}
	a := Answer{Status: r.StatusCode, Header: r.Header}
	var b [4096]byte
	for {
		n, err := r.Body.Read(b[:])
		a.Body = append(a.Body, b[:n]...)
		if err != nil {
			if err.Error() != "EOF" {
				a.Err = err
			}
			return a
		}
	}
}

// Events returns the number of events in the body of a stream.
func (a Answer) Events() int { return strings.Count(string(a.Body), "\n\n") }

// ErrSetup is returned when a precondition of a case does not hold.
var ErrSetup = errors.New("the case could not be set up")
