package demo

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a fleet that violates a guarantee when several of its parts fail
// in one run, and against a demo that skips a step or does not print its result.
func TestShortDemo(t *testing.T) {
	var out, log bytes.Buffer
	err := New(&out, Options{Duration: 10 * time.Second, Seed: 7, Log: &log}).Run(t.Context())
	assert.NilError(t, err, out.String())
	for _, want := range []string{
		"the stored response is returned", "out of service: version 2 accepted", "got no new request from 3s",
		"back in service: version 3 accepted", "restarts without warning", "is stopped; it holds the cells",
		"no request was cut off", "a change of the catalogue is refused", "the platform answers again",
		"0 overruns, 0 keys doubled, 0 false notRun", "all promises were kept",
	} {
		assert.Assert(t, strings.Contains(out.String(), want), "%s\n%s", want, out.String())
	}
	for _, w := range workspaces {
		assert.Assert(t, strings.Contains(out.String(), "\n"+string(w.name)+" "), out.String())
	}
	for _, want := range []string{"event=1001", "event=1006", "event=6001", "event=6002"} {
		assert.Assert(t, strings.Contains(log.String(), want), want)
	}
	assert.Assert(t, !strings.Contains(log.String(), "event=1009"), log.String())
}

// Guards against a recorded fault that does not make the demo fail, and against a
// duration that is not checked.
func TestResult(t *testing.T) {
	var out bytes.Buffer
	d := New(&out, Options{Quiet: true})
	assert.ErrorContains(t, d.Run(t.Context()), "allowed: 8s to 1h")
	assert.NilError(t, d.checkResult())
	d.reportFault("%d answers were wrong", 2)
	assert.Error(t, d.checkResult(), "violated guarantees: 2 answers were wrong")
	assert.Equal(t, out.String(), "all promises were kept\n")
}
