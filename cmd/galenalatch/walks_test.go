//go:build linux

package main

import (
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	wait "gotest.tools/v3/poll"

	"github.com/galenalatch/galenalatch/internal/standin/backend"
	"github.com/galenalatch/galenalatch/platform/standin"
)

// send sends one request to the first gateway and returns the status.
func (f *soakFleet) send(t *testing.T, path, id string) int {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+f.gateways[0].caller+path+id, strings.NewReader(id))
	assert.NilError(t, err)
	r.GetBody = nil
	r.Host = soakHost
	r.Header.Set(standin.Request, id)
	r.Header.Set(standin.Deadline, "2000")
	r.Header.Set(standin.Key, standin.KeyScheme+f.keys[0])
	a, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, a.Body)
	assert.NilError(t, err)
	assert.NilError(t, a.Body.Close())
	return a.StatusCode
}

// findLines returns the log lines of the first gateway that contain a text. It
// waits up to 2 s, since the log is written asynchronously.
func (f *soakFleet) findLines(t *testing.T, text string) []string {
	t.Helper()
	var found []string
	wait.WaitOn(t, func(wait.LogT) wait.Result {
		data, err := os.ReadFile(filepath.Join(f.dir, f.gateways[0].id+".log"))
		if err != nil {
			return wait.Error(err)
		}
		found = nil
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, text) {
				found = append(found, line)
			}
		}
		if len(found) == 0 {
			return wait.Continue("no line contains %s", text)
		}
		return wait.Success()
	}, wait.WithTimeout(2*time.Second))
	return found
}

// logField returns the value of a field of a log line, without quotes, or "" if
// there is none.
func logField(line, name string) string {
	m := regexp.MustCompile(` ` + name + `=("(?:[^"\\]|\\.)*"|\S+)`).FindStringSubmatch(line)
	if m == nil {
		return ""
	}
	return strings.Trim(m[1], `"`)
}

// Guards against log lines that lack the fields by which an operator finds the
// cause of a failed request. Follows the steps of docs/OPERATIONS.md.
func TestWalks(t *testing.T) {
	t.Run("refused for capacity", func(t *testing.T) {
		f := newSoakFleet(t, 1)
		f.engine, f.targetLatency = true, 20*time.Millisecond
		f.publishConfiguration()
		wait.WaitOn(t, func(wait.LogT) wait.Result {
			if s := f.send(t, "/stream/", "warm-up"); s != http.StatusTooManyRequests {
				return wait.Continue("status %d", s)
			}
			return wait.Success()
		}, wait.WithTimeout(3*time.Second))
		assert.Equal(t, f.send(t, "/stream/", "complaint-1"), http.StatusTooManyRequests)
		line := f.findLines(t, "request=complaint-1 ")[0]
		t.Log(line)
		assert.Equal(t, logField(line, "event"), "8003")
		assert.Assert(t, strings.HasPrefix(logField(line, "error"), "queueFull"), line)
		assert.Assert(t, logField(line, "wait") != "0s", line)
	})
	t.Run("unknown outcome", func(t *testing.T) {
		f := newSoakFleet(t, 1)
		for _, w := range f.backends {
			w.server.SetBehaviour(backend.CloseAfterRun)
		}
		assert.Equal(t, f.send(t, "/log/", "complaint-2"), http.StatusBadGateway)
		f.findLines(t, "event=8004 request=complaint-2 ")
		lines := f.findLines(t, "request=complaint-2 ")
		t.Log(strings.Join(lines, ""))
		assert.Equal(t, len(lines), 3, "%v", lines)
		assert.Equal(t, logField(lines[0], "event"), "8001")
		assert.Equal(t, logField(lines[1], "event"), "8002")
		assert.Equal(t, logField(lines[0], "server"), logField(lines[1], "server"))
		assert.Assert(t, strings.Contains(logField(lines[1], "error"), "EOF"), lines[1])
		assert.Equal(t, logField(lines[2], "status"), "502")
		listed := f.findLines(t, "server="+logField(lines[0], "server")+" service=")
		t.Log(listed[0])
		assert.Assert(t, logField(listed[0], "address") != "")
	})
	t.Run("stale configuration", func(t *testing.T) {
		f := newSoakFleet(t, 1)
		f.gateways[0].store.setMode(stalling)
		wait.WaitOn(t, func(wait.LogT) wait.Result {
			if s := f.send(t, "/keyed/", "complaint-3"); s != http.StatusServiceUnavailable {
				return wait.Continue("status %d", s)
			}
			return wait.Success()
		}, wait.WithTimeout(5*time.Second), wait.WithDelay(100*time.Millisecond))
		refused := f.findLines(t, "event=8003 request=complaint-3 ")
		line := refused[len(refused)-1]
		t.Log(line)
		assert.Assert(t, strings.HasPrefix(logField(line, "error"), "catalogueStale"), line)
		age, err := time.ParseDuration(logField(line, "proofAge"))
		assert.NilError(t, err)
		assert.Assert(t, age > soakKeyRemoval-200*time.Millisecond, line)
		lost := f.findLines(t, "event=8107 ")
		t.Log(lost[0])
		assert.Equal(t, logField(lost[0], "feed") != "", true)
	})
}
