//go:build linux

package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// process is a process that a script started.
type process struct {
	name   string
	cmd    *exec.Cmd
	ended  chan struct{}
	err    error
	mu     sync.Mutex
	paused bool
}

// spawn starts the program. Its output goes to files in the script's
// directory.
func (s *scenario) spawn(name string, args ...string) (*process, error) {
	if p, ok := s.processes[name]; ok && !p.hasEnded() {
		return nil, fmt.Errorf("%s runs already", name)
	}
	out, err := os.OpenFile(filepath.Join(s.dir, name+".out"), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	c := exec.Command("galenalatch", args...)
	c.Dir, c.Stdout, c.Stderr = s.dir, out, log
	c.Env = os.Environ()
	for k, v := range tokens {
		c.Env = append(c.Env, k+"="+v)
	}
	// A test binary that is killed leaves no processes behind.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: c, ended: make(chan struct{})}
	s.processes[name] = p
	go p.run(out, log)
	return p, nil
}

func (p *process) run(files ...*os.File) {
	p.err = p.cmd.Wait()
	for _, f := range files {
		_ = f.Close()
	}
	close(p.ended)
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// runs reports whether the process can make progress.
func (p *process) runs() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.paused && !p.hasEnded()
}

func (s *scenario) killAll() {
	for _, p := range s.processes {
		// SIGKILL ends paused processes as well.
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, p := range s.processes {
		<-p.ended
	}
}

// start starts the routers and stand-ins whose names match the patterns.
func (s *scenario) start(_ *testscript.TestScript, args []string) error {
	names, err := s.names(args...)
	if err != nil {
		return err
	}
	for _, n := range names {
		if strings.HasPrefix(n, "router-") {
			_, err = s.spawn(n, "router", "--settings", n+".json")
		} else {
			_, err = s.spawn(n, "standin", "--settings", "standin.json", n)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

var signals = map[string]syscall.Signal{
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
	"TERM": syscall.SIGTERM,
	"KILL": syscall.SIGKILL,
}

// signal sends a signal to processes: signal NAME PATTERN...
func (s *scenario) signal(_ *testscript.TestScript, args []string) error {
	if len(args) < 2 || signals[args[0]] == 0 {
		return fmt.Errorf("usage: signal STOP|CONT|TERM|KILL name...")
	}
	names, err := s.names(args[1:]...)
	if err != nil {
		return err
	}
	for _, n := range names {
		p, ok := s.processes[n]
		if !ok {
			return fmt.Errorf("%s was not started", n)
		}
		p.mu.Lock()
		err := p.cmd.Process.Signal(signals[args[0]])
		p.paused = args[0] == "STOP" || p.paused && args[0] != "CONT"
		p.mu.Unlock()
		if err != nil {
			return fmt.Errorf("%s: %w", n, err)
		}
		if args[0] == "KILL" {
			<-p.ended
		}
	}
	return nil
}

// stopped waits until processes have ended without an error:
// stopped BOUND PATTERN...
func (s *scenario) stopped(_ *testscript.TestScript, args []string) error {
	bound, rest, err := withBound(args)
	if err != nil {
		return err
	}
	names, err := s.names(rest...)
	if err != nil {
		return err
	}
	late := time.After(bound)
	for _, n := range names {
		select {
		case <-s.processes[n].ended:
		case <-late:
			return fmt.Errorf("%s has not ended after %v", n, bound)
		}
		if err := s.processes[n].err; err != nil {
			return fmt.Errorf("%s: %w", n, err)
		}
	}
	return nil
}

func withBound(args []string) (time.Duration, []string, error) {
	if len(args) == 0 {
		return 0, nil, fmt.Errorf("the bound is missing")
	}
	d, err := time.ParseDuration(args[0])
	return d, args[1:], err
}
