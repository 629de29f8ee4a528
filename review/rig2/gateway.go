// Package rig2 starts gateway processes, workers and callers on loopback addresses for
// the cases of the second review.
package rig2

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Gateway is one process of the project, started as deploy/system.toml says.
type Gateway struct {
	ID      string
	Zone    string
	Caller  string
	Ready   string
	peer    string
	metrics string
	binary  string
	dir     string
	command *exec.Cmd
	log     *os.File
	ended   chan error
}

// settingsFormat is deploy/gateway.json.tmpl with the bounds of a small deployment.
const settingsFormat = `{
  "id": %q,
  "dataCentre": %q,
  "listen": {"caller": %q, "readiness": %q, "peer": %q, "metrics": %q},
  "store": {"address": %q},
  "memoryMegabytes": 284,
  "descriptors": 4100,
  "configurationApply": "2000ms",
  "keyRemoval": "5000ms",
  "passLimit": "120ms",
  "drain": {"limit": "8s"},
  "repeats": {"ratio": 0.2, "fixed": 56, "window": "10s"},
  "cold": {"over": 1.5, "slack": 5},
  "engine": {"readRate": 51.1, "firstToken": "50ms"},
  "log": {"level": "info", "format": "logfmt"}
}
`

// FreeAddress returns a loopback address on which nothing listens.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// StartGateway writes the settings of a gateway into dir and starts its process.
func StartGateway(binary, dir, id, zone, store string) (*Gateway, error) {
	g := &Gateway{ID: id, Zone: zone, ended: make(chan error, 1)}
	for _, a := range []*string{&g.Caller, &g.Ready, &g.peer, &g.metrics} {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	g.binary, g.dir = binary, dir
	text := fmt.Sprintf(settingsFormat, id, zone, g.Caller, g.Ready, g.peer, g.metrics, store)
	if err := os.WriteFile(g.path(), []byte(text), 0o600); err != nil {
		return nil, err
	}
	return g, g.start()
}

func (g *Gateway) path() string { return filepath.Join(g.dir, g.ID+".json") }

// start starts the process with the settings of the gateway.
func (g *Gateway) start() error {
	log, err := os.OpenFile(filepath.Join(g.dir, g.ID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.log = log
	g.command = exec.Command(g.binary, "gateway")
	// A machine of a small deployment has one core.
	g.command.Env = append(os.Environ(), "GALENALATCH_BOOT="+g.path(), "GOMAXPROCS=1")
	g.command.Stdout, g.command.Stderr = log, log
	// The kernel ends the process with the script.
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return err
	}
	go g.run()
	return nil
}

// Kill ends the process at once, and Restart starts it again.
func (g *Gateway) Kill() {
	_ = g.Signal(syscall.SIGKILL)
	<-g.ended
	_ = g.log.Close()
}

// Restart starts the process again after Kill.
func (g *Gateway) Restart() error { return g.start() }

// run waits for the end of the process.
func (g *Gateway) run() { g.ended <- g.command.Wait() }

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) error { return g.command.Process.Signal(s) }

// AwaitReady waits until the gateway says that it is ready.
func (g *Gateway) AwaitReady(limit time.Duration) error {
	c := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		a, err := c.Get("http://" + g.Ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = a.Body.Close()
		if a.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", g.ID, limit)
}

// Stop ends the process.
func (g *Gateway) Stop() {
	_ = g.Signal(syscall.SIGCONT)
	_ = g.Signal(syscall.SIGTERM)
	select {
	case <-g.ended:
	case <-time.After(10 * time.Second):
		_ = g.Signal(syscall.SIGKILL)
		<-g.ended
	}
	_ = g.log.Close()
}
