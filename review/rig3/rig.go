package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// rig holds the processes and stand-ins of a case.
type rig struct {
	trouble  bool
	start    time.Time
	folder   string
	store    *store
	gateways []*gateway
	workers  []*worker
	// ports are those given to gateways, which may not listen yet.
	ports map[int]bool

	mu  sync.Mutex
	log *os.File
}

func newRig(path string, trouble bool) (*rig, error) {
	log, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	r := &rig{trouble: trouble, start: time.Now(), folder: folder, ports: make(map[int]bool), log: log}
	r.store, err = newStore()
	if err != nil {
		return nil, errors.Join(err, log.Close(), os.RemoveAll(folder))
	}
	r.record("trouble: %v", trouble)
	return r, nil
}

// record writes a line with the time since the start of the rig.
func (r *rig) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.log, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and stand-ins.
func (r *rig) close() {
	for _, g := range r.gateways {
		g.kill()
	}
	for _, w := range r.workers {
		w.close()
	}
	r.store.close()
	_ = r.log.Close()
	_ = os.RemoveAll(r.folder)
}

// gateway is one process of the system.
type gateway struct {
	name, caller, readiness string
	command                 *exec.Cmd
	exited                  chan struct{}
}

// startGateways starts gateways with settings as the deploy file's template makes them
// for a small deployment, and waits until they are ready.
func (r *rig) startGateways(ctx context.Context, n int) error {
	for i := range n {
		if err := r.startGateway(fmt.Sprintf("front-%d", i+1), fmt.Sprintf("zone-%d", i%4+1)); err != nil {
			return err
		}
	}
	for _, g := range r.gateways {
		if err := g.awaitReady(ctx); err != nil {
			return err
		}
	}
	r.record("%d gateways are ready", n)
	return nil
}

func (r *rig) startGateway(name, zone string) error {
	addresses, err := r.freeAddresses(4)
	if err != nil {
		return err
	}
	settings := map[string]any{
		"id": name, "dataCentre": zone,
		"listen": map[string]any{"caller": addresses[0], "readiness": addresses[1], "peer": addresses[2], "metrics": addresses[3]},
		"store":  map[string]any{"address": r.store.address()}, "memoryMegabytes": 284, "descriptors": 4100,
		"configurationApply": "2000ms", "keyRemoval": "5000ms", "passLimit": "120ms",
		"drain":   map[string]any{"limit": "8s"},
		"repeats": map[string]any{"ratio": 0.2, "fixed": 56, "window": "10s"},
		"cold":    map[string]any{"over": 1.5, "slack": 5},
		"engine":  map[string]any{"readRate": 51.1, "firstToken": "50ms"},
		"log":     map[string]any{"level": "info", "format": "logfmt"},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(r.folder, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(r.folder, name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	g := &gateway{name: name, caller: addresses[0], readiness: addresses[1], exited: make(chan struct{})}
	g.command = exec.Command("target/galenalatch", "gateway")
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.folder, "GALENALATCH_BOOT=" + path}
	g.command.Stdout, g.command.Stderr = log, log
	if err := g.command.Start(); err != nil {
		return err
	}
	r.gateways = append(r.gateways, g)
	go g.run()
	return nil
}

// run waits for the end of the process.
func (g *gateway) run() {
	// The state of a killed process is of no interest.
	_ = g.command.Wait()
	close(g.exited)
}

func (g *gateway) awaitReady(ctx context.Context) error {
	for {
		response, err := http.Get("http://" + g.readiness + "/-/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", g.name, ctx.Err())
		case <-g.exited:
			return fmt.Errorf("%s has ended", g.name)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (g *gateway) kill() {
	_ = g.command.Process.Signal(syscall.SIGKILL)
	<-g.exited
}

// lowestPort and highestPort bound the ports of the gateways. They are below those that
// the system gives to outgoing connections, which could take one before it is used.
const (
	lowestPort  = 12000
	highestPort = 32000
)

// freeAddresses returns loopback addresses with ports that are free and not given yet.
func (r *rig) freeAddresses(n int) ([]string, error) {
	var addresses []string
	for tries := 0; len(addresses) < n; tries++ {
		if tries > 100*n {
			return nil, errors.New("no free ports")
		}
		port := lowestPort + rand.N(highestPort-lowestPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		address := l.Addr().String()
		if err := l.Close(); err != nil || r.ports[port] {
			continue
		}
		r.ports[port] = true
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// sleep waits, or returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
