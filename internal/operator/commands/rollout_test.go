package commands_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/galenalatch/galenalatch/internal/operator/commands"
	"github.com/galenalatch/galenalatch/internal/standin/broken"
)

// Guards against a status of a roll-out without its evidence, one of another service, and
// against an unknown service or a gateway without a response that looks like success.
func TestRolloutStatus(t *testing.T) {
	gateway := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == "/rollouts")
		_, _ = w.Write([]byte(`[
			{"router":"r1","service":"other","to":"v1","state":"done","step":"full"},
			{"router":"r1","service":"pool","to":"v2","state":"running","step":"canary","secondsLeft":7.25,"verdict":"bad",
			 "why":"route 1: failed 9 of 40","stopped":"route 1: failed 9 of 40","requests":900,"exposed":40,"routers":60,"known":59}]`))
	}))
	defer gateway.Close()
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		app := kingpin.New("galenalatch", "")
		commands.Register(app, &out)
		_, err := app.Parse(append([]string{"rollout", "status", "-g", strings.TrimPrefix(gateway.URL, "http://")}, args...))
		return out.String(), err
	}
	out, err := run("pool")
	assert.NilError(t, err)
	golden.Assert(t, out, "rollout-status.golden")
	_, err = run("desk")
	assert.ErrorContains(t, err, "no gateway knows")
	_, err = run("pool", "-g", "127.0.0.1:1")
	assert.ErrorContains(t, err, "connect")
}

// Guards against a status of a roll-out from a response in whose head a line is broken.
func TestBrokenRolloutStatus(t *testing.T) {
	const (
		fields = "Content-Type: application/json\r\n"
		body   = `[{"router":"r1","service":"pool","to":"v2","state":"done","step":"full"}]`
	)
	for _, a := range append(broken.BrokenStatus(fields, body), broken.BrokenField(fields, body)...) {
		s, err := broken.New(broken.CloseWrite, a.Bytes)
		assert.NilError(t, err)
		var out bytes.Buffer
		app := kingpin.New("galenalatch", "")
		commands.Register(app, &out)
		_, err = app.Parse([]string{"rollout", "status", "-g", s.Address(), "pool"})
		assert.Assert(t, err != nil, "%s: %s", a.Name, out.String())
		assert.NilError(t, s.Close())
	}
}
