package httpclient

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/standin/broken"
)

const brokenFields = "ETag: \"1\"\r\n"

// expectErrors expects an error for each of the answers, to reads and writes. A write may
// have had an effect.
func expectErrors(t *testing.T, answers []broken.Answer) {
	t.Helper()
	read := Request{Method: http.MethodGet, Path: "table/key"}
	write := Request{Method: http.MethodPut, Path: "table/key", Body: []byte("value"), Write: true}
	for _, a := range answers {
		s, err := broken.New(broken.CloseWrite)
		assert.NilError(t, err)
		for _, q := range []Request{read, write} {
			s.SetAnswers(broken.Sound(brokenFields, "body"), a.Bytes)
			c, err := New("http://" + s.Address())
			assert.NilError(t, err)
			r, err := c.Do(t.Context(), q)
			assert.NilError(t, err)
			assert.Equal(t, string(r.Body), "body")
			// A read on a kept connection may be repeated on a new one.
			s.SetAnswers(a.Bytes)
			r, err = c.Do(t.Context(), q)
			assert.Assert(t, err != nil, "%s, %s: %+v", a.Name, q.Method, r)
			if q.Write {
				assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindWriteUnknown, "%s: %v", a.Name, err)
			}
		}
		assert.NilError(t, s.Close())
	}
}

// Guards against a response of the platform with the status 000, or with another broken
// status line, that is taken for a result.
func TestBrokenStatus(t *testing.T) {
	expectErrors(t, broken.BrokenStatus(brokenFields, "body"))
}

// Guards against a response of the platform that is taken for a result although the name
// of a field has a blank or a control byte, or a line continues the one before.
func TestBrokenField(t *testing.T) {
	expectErrors(t, broken.BrokenField(brokenFields, "body"))
}
