//go:build linux

// The scenarios in testdata/script run routers and stand-ins as processes and
// inject failures. Each script names the guarantees of docs/design.md (P1 and
// following) that it checks.
package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/galenalatch/galenalatch"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"galenalatch": main})
}

// maxParallelScenarios limits the scenarios that run at the same time, since
// each has about 20 processes.
const maxParallelScenarios = 4

// Guards against violated guarantees of the router fleet under the failures that
// the scripts in testdata/script inject. A line of a log that reports a panic, a
// fatal error or a data race also fails the scenario.
func TestScenarios(t *testing.T) {
	slots := make(chan struct{}, maxParallelScenarios)
	testscript.Run(t, testscript.Params{
		Dir:                 filepath.Join("testdata", "script"),
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(e *testscript.Env) error {
			slots <- struct{}{}
			s := &scenario{dir: e.WorkDir, processes: make(map[string]*process)}
			e.Values[scenarioKey{}] = s
			e.Defer(func() {
				s.killAll()
				t := e.T().(failureReporter)
				if f := s.crashes(); f != "" {
					t.Errorf("%s", f)
				}
				if t.Failed() {
					e.T().Log(s.logs())
				}
				<-slots
			})
			for k, v := range tokens {
				e.Setenv(k, v)
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":        scriptCommand((*scenario).fleetCommand),
			"start":        scriptCommand((*scenario).start),
			"signal":       scriptCommand((*scenario).signal),
			"stopped":      scriptCommand((*scenario).stopped),
			"ready":        scriptCommand((*scenario).ready),
			"await":        scriptCommand((*scenario).await),
			"holder":       scriptCommand((*scenario).holder),
			"nonholder":    scriptCommand((*scenario).nonHolder),
			"platform":     scriptCommand((*scenario).platform),
			"failures":     scriptCommand((*scenario).failures),
			"coldrestart":  scriptCommand((*scenario).coldRestart),
			"instance":     scriptCommand((*scenario).instance),
			"request":      scriptCommand((*scenario).request),
			"chat":         scriptCommand((*scenario).chat),
			"race":         scriptCommand((*scenario).race),
			"churn":        scriptCommand((*scenario).churn),
			"norequests":   scriptCommand((*scenario).noRequests),
			"partition":    scriptCommand((*scenario).partition),
			"peer":         scriptCommand((*scenario).peer),
			"checklatency": scriptCommand((*scenario).checkLatency),
			"load":         scriptCommand((*scenario).load),
			"checkload":    scriptCommand((*scenario).checkLoad),
		},
	})
}

// failureReporter has the methods of testing.T that testscript.T lacks.
type failureReporter interface {
	Failed() bool
	Errorf(format string, args ...any)
}

// tokens are the credentials of all scenarios by environment variable.
var tokens = map[string]string{
	"GALENALATCH_PLATFORM_TOKEN": "scenario-platform-token",
	"GALENALATCH_PEER_TOKEN":     "scenario-peer-token",
	"GALENALATCH_OPERATOR_TOKEN": "scenario-operator-token",
}

type scenarioKey struct{}

// scenario is the state of one running script.
type scenario struct {
	dir       string
	fleet     fleet
	processes map[string]*process
	// addedWorkspaces are the workspaces that the race command has added.
	addedWorkspaces []galenalatch.WorkspaceName
}

// scriptCommand makes a script command from a method. A negated command passes
// if the method returns an error, which it prints on stderr.
func scriptCommand(f func(*scenario, *testscript.TestScript, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, negated bool, args []string) {
		err := f(ts.Value(scenarioKey{}).(*scenario), ts, args)
		switch {
		case negated && err == nil:
			ts.Fatalf("the command succeeded but was expected to fail")
		case negated:
			_, _ = fmt.Fprintln(ts.Stderr(), err)
		default:
			ts.Check(err)
		}
	}
}

// crashes returns the log lines that report a panic, a fatal error or a data
// race.
func (s *scenario) crashes() string {
	var b strings.Builder
	files, _ := filepath.Glob(filepath.Join(s.dir, "*.log"))
	for _, f := range files {
		data, _ := os.ReadFile(f)
		for l := range strings.Lines(string(data)) {
			if strings.HasPrefix(l, "panic:") || strings.HasPrefix(l, "fatal error:") || strings.Contains(l, "DATA RACE") {
				_, _ = fmt.Fprintf(&b, "%s: %s", filepath.Base(f), l)
			}
		}
	}
	return b.String()
}

// logTailLines is the number of last lines of each log that a failed scenario
// prints.
const logTailLines = 25

// logs returns the last lines of each process's log. If SCENARIO_LOGS names a
// directory, it also copies the complete logs there.
func (s *scenario) logs() string {
	var b strings.Builder
	files, _ := filepath.Glob(filepath.Join(s.dir, "*.log"))
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil || len(data) == 0 {
			continue
		}
		if d := os.Getenv("SCENARIO_LOGS"); d != "" {
			name := filepath.Base(filepath.Dir(s.dir)) + "-" + filepath.Base(s.dir) + "-" + filepath.Base(f)
			_ = os.WriteFile(filepath.Join(d, name), data, 0o600)
		}
		lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
		lines = lines[max(0, len(lines)-logTailLines):]
		_, _ = fmt.Fprintf(&b, "--- %s\n%s\n", filepath.Base(f), bytes.Join(lines, []byte("\n")))
	}
	return b.String()
}
