package host

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch/internal/standin/broken"
	"github.com/galenalatch/galenalatch/internal/standin/headers"
)

// expectBadGateway expects that callers get none of the answers.
func expectBadGateway(t *testing.T, answers []broken.Answer, marker string) {
	t.Helper()
	f, s := newBrokenFixture(t, "", broken.CloseWrite)
	for _, a := range answers {
		for _, path := range []string{"/log/1", "/status/1", "/stream/once/1"} {
			s.SetAnswers(a.Bytes)
			before := s.Requests()
			r := f.call(t.Context(), "POST", path, "r-1", "upload")
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, http.StatusBadGateway, "%s at %s: %s", a.Name, path, r.body)
			assert.Assert(t, !strings.Contains(r.body, marker), "%s at %s: %s", a.Name, path, r.body)
			assert.Assert(t, s.Requests() > before, "%s at %s: no request was sent", a.Name, path)
			for name := range r.header {
				assert.Assert(t, !strings.Contains(name, "Trouble") && name != headers.Seal, "%s at %s: %v", a.Name, path, r.header)
			}
		}
	}
}

const brokenFields = headers.Request + ": r-1\r\n" + headers.Seal + ": 1\r\n"

// Guards against callers who get the answer of a server in trouble: its status is 000, or
// its status line is broken in another way.
func TestBrokenStatus(t *testing.T) {
	expectBadGateway(t, broken.BrokenStatus(brokenFields, "id: 1\ndata: piece\n\n"), "piece")
}

// Guards against callers who get the answer of a server in trouble: the name of a field
// has a blank or a control byte, or a line continues the one before.
func TestBrokenField(t *testing.T) {
	expectBadGateway(t, broken.BrokenField(brokenFields, "id: 1\ndata: piece\n\n"), "piece")
}
