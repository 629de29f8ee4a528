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

// process is a child process that a script started. err is valid once ended is
// closed; mu guards paused.
type process struct {
	name   string
	cmd    *exec.Cmd
	ended  chan struct{}
	err    error
	mu     sync.Mutex
	paused bool
}

// spawn starts galenalatch with the arguments. Its output goes to NAME.out and
// its log to NAME.log in the script's directory.
func (s *scenario) spawn(name string, args ...string) (*process, error) {
	if p, ok := s.processes[name]; ok && !p.hasEnded() {
		return nil, fmt.Errorf("%s is already running", name)
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
	// The kernel kills the process when the test binary dies.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: c, ended: make(chan struct{})}
	s.processes[name] = p
	go p.run(out, log)
	return p, nil
}

// run waits for the process and then closes its output files.
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

// canRun reports whether the process has not ended and is not paused.
func (p *process) canRun() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.paused && !p.hasEnded()
}

// killAll kills all processes of the scenario and waits for their end.
func (s *scenario) killAll() {
	for _, p := range s.processes {
		// SIGKILL ends paused processes as well.
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, p := range s.processes {
		<-p.ended
	}
}

// start starts the routers and stand-ins whose names match: start PATTERN...
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

// signal sends a signal to processes and, for KILL, waits for their end:
// signal STOP|CONT|TERM|KILL PATTERN...
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

// stopped waits until processes have ended, and fails if one ended with an
// error: stopped TIMEOUT PATTERN...
func (s *scenario) stopped(_ *testscript.TestScript, args []string) error {
	timeout, rest, err := takeDuration(args)
	if err != nil {
		return err
	}
	names, err := s.names(rest...)
	if err != nil {
		return err
	}
	expired := time.After(timeout)
	for _, n := range names {
		select {
		case <-s.processes[n].ended:
		case <-expired:
			return fmt.Errorf("%s has not ended after %v", n, timeout)
		}
		if err := s.processes[n].err; err != nil {
			return fmt.Errorf("%s: %w", n, err)
		}
	}
	return nil
}

// takeDuration parses the first argument as a duration and returns the other
// arguments.
func takeDuration(args []string) (time.Duration, []string, error) {
	if len(args) == 0 {
		return 0, nil, fmt.Errorf("a duration is missing")
	}
	d, err := time.ParseDuration(args[0])
	return d, args[1:], err
}
