//go:build linux

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	wait "gotest.tools/v3/poll"

	"github.com/galenalatch/galenalatch"
	settings "github.com/galenalatch/galenalatch/internal/config/gateway"
	"github.com/galenalatch/galenalatch/internal/standin/broken"
	"github.com/galenalatch/galenalatch/platform/standin"
)

// brokenUpload is more than the kernel buffers for a connection, in bytes.
const brokenUpload = 16 << 20

// newBrokenFleet starts a gateway process whose only backend server is s.
func newBrokenFleet(t *testing.T, s *broken.Server) *soakFleet {
	f := newLimitedFleet(t, 1, fleetLimits{
		memory: settings.Default().MemoryMegabytes, descriptors: settings.Default().Descriptors, body: 2 * brokenUpload,
	})
	assert.NilError(t, f.store.Server(galenalatch.Registration{ID: "broken", Service: soakService, Address: s.Address(), DataCentre: "a", Slots: 8}))
	for _, w := range f.backends {
		f.store.RemoveServer(w.server.ID)
	}
	wait.WaitOn(t, func(wait.LogT) wait.Result {
		if _, _, err := f.upload("/log/1", "a"); err != nil {
			return wait.Error(err)
		}
		if s.Requests() == 0 {
			return wait.Continue("no request has reached the broken server")
		}
		return wait.Success()
	}, wait.WithTimeout(5*time.Second))
	return f
}

// upload makes one request with a body. A response that breaks off has the status 0.
func (f *soakFleet) upload(path, body string) (status int, answer string, err error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.gateways[0].caller+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Host = soakHost
	r.Header.Set(standin.Request, "r-1")
	r.Header.Set(standin.Deadline, "3000")
	a, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	b, cut := io.ReadAll(a.Body)
	if err := a.Body.Close(); err != nil {
		return 0, "", err
	}
	if cut != nil {
		return 0, string(b), nil
	}
	return a.StatusCode, string(b), nil
}

// Guards against callers of a gateway process who get a broken answer of a backend server,
// or a part of one, and against a sound answer that is lost since it came before the
// upload was read.
func TestBrokenAnswers(t *testing.T) {
	// repeats is the number of requests of a case.
	const repeats = 5
	head := "HTTP/1.1 200 OK\r\n" + standin.Request + ": r-1\r\n" + standin.HeaderNames.Seal + ": 1\r\n"
	sound := head + "Content-Length: 4\r\n\r\nbody"
	long := strings.Repeat("u", brokenUpload)
	tests := []struct {
		name   string
		ending broken.Ending
		answer string
		upload string
		status int
	}{
		{"reset", broken.Reset, head + "\r\npart", long, http.StatusBadGateway},
		{"reset without a body", broken.Reset, head + "\r\n", long, http.StatusBadGateway},
		{"reset inside a long body", broken.Reset, head + "\r\n" + strings.Repeat("b", 1<<20), long, 0},
		{"status 000", broken.CloseWrite, "HTTP/1.1 000 Trouble\r\n\r\n" + sound, "upload", http.StatusBadGateway},
		{"blank in a name", broken.CloseWrite, head + "Content-Length : 4\r\n\r\nbody" + sound, "upload", http.StatusBadGateway},
		{"control byte in a name", broken.CloseWrite, head + "X\x01: 1\r\nContent-Length: 4\r\n\r\nbody", "upload", http.StatusBadGateway},
		{"blank at the start of a line", broken.CloseWrite, head + " Content-Length: 4\r\n\r\nbody" + sound, "upload", http.StatusBadGateway},
		{"sound, with a length", broken.Reset, sound, long, http.StatusOK},
		{"sound, without a length", broken.CloseWrite, head + "\r\nbody", long, http.StatusOK},
		{"sound, without a length, then reset", broken.CloseWriteAndReset, head + "\r\nbody", long, http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, err := broken.New(tt.ending, tt.answer)
			assert.NilError(t, err)
			defer func() { assert.NilError(t, s.Close()) }()
			f := newBrokenFleet(t, s)
			for _, path := range []string{"/log/1", "/status/1"} {
				for i := range repeats {
					status, answer, err := f.upload(path, tt.upload)
					name := fmt.Sprintf("%s, request %d", path, i)
					assert.NilError(t, err, name)
					if tt.status == 0 {
						// A part that was sent ends with a broken connection.
						assert.Assert(t, status == 0 || status == http.StatusBadGateway, "%s: status %d, %d bytes", name, status, len(answer))
						continue
					}
					assert.Equal(t, status, tt.status, "%s: %d bytes", name, len(answer))
					if status == http.StatusOK {
						assert.Equal(t, answer, "body", name)
					}
				}
			}
		})
	}
}
