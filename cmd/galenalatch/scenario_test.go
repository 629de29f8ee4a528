//go:build linux

// The scenarios in testdata/script run routers and stand-ins as processes and
// make them fail. Each script names the promise of docs/design.md that it
// guards.
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

// maxScenarios bounds the scenarios that run at once: each has about twenty
// processes.
const maxScenarios = 4

func TestScenarios(t *testing.T) {
	slots := make(chan struct{}, maxScenarios)
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
				t := e.T().(failer)
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
			"fleet":    scriptCommand((*scenario).fleetCommand),
			"start":    scriptCommand((*scenario).start),
			"signal":   scriptCommand((*scenario).signal),
			"stopped":  scriptCommand((*scenario).stopped),
			"ready":    scriptCommand((*scenario).ready),
			"await":    scriptCommand((*scenario).await),
			"holder":   scriptCommand((*scenario).holder),
			"idle":     scriptCommand((*scenario).idle),
			"platform": scriptCommand((*scenario).platform),
			"failures": scriptCommand((*scenario).failures),
			"turncold": scriptCommand((*scenario).turnCold),
			"instance": scriptCommand((*scenario).instance),
			"request":  scriptCommand((*scenario).request),
			"chat":     scriptCommand((*scenario).chat),
			"race":     scriptCommand((*scenario).race),
			"churn":    scriptCommand((*scenario).churn),
			"nonew":    scriptCommand((*scenario).nonew),
			"cut":      scriptCommand((*scenario).cut),
			"peer":     scriptCommand((*scenario).peer),
			"first":    scriptCommand((*scenario).first),
			"load":     scriptCommand((*scenario).load),
			"verdict":  scriptCommand((*scenario).verdict),
		},
	})
}

// failer is the part of testing.T that testscript does not pass on.
type failer interface {
	Failed() bool
	Errorf(format string, args ...any)
}

// tokens are the credentials of all scenarios.
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
	// won holds the workspaces that operators' changes have added.
	won []galenalatch.WorkspaceName
}

// scriptCommand makes a script command of a method. A command that is expected to
// fail passes when the method returns an error.
func scriptCommand(f func(*scenario, *testscript.TestScript, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, negated bool, args []string) {
		err := f(ts.Value(scenarioKey{}).(*scenario), ts, args)
		switch {
		case negated && err == nil:
			ts.Fatalf("the command passed, but was expected to fail")
		case negated:
			_, _ = fmt.Fprintln(ts.Stderr(), err)
		default:
			ts.Check(err)
		}
	}
}

// crashes returns the lines of the logs that a crash or the race detector
// wrote.
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

// logLines is the number of lines that a failed scenario prints of each log.
const logLines = 25

// logs returns the end of the log of each process. With SCENARIO_LOGS set to
// a directory, the whole logs are copied there.
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
		lines = lines[max(0, len(lines)-logLines):]
		_, _ = fmt.Fprintf(&b, "--- %s\n%s\n", filepath.Base(f), bytes.Join(lines, []byte("\n")))
	}
	return b.String()
}
