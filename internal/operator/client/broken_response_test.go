package client

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch/internal/operator/message"
	"github.com/galenalatch/galenalatch/internal/standin/broken"
)

const (
	brokenFields = "Content-Type: application/json\r\n"
	brokenBody   = `{"version":7}`
)

// expectErrors expects an error for each of the answers.
func expectErrors(t *testing.T, answers []broken.Answer) {
	t.Helper()
	for _, a := range answers {
		s, err := broken.New(broken.CloseWrite, a.Bytes)
		assert.NilError(t, err)
		r, err := New(s.Address(), "token").SetDataCentreService(t.Context(), "b", true, message.ServiceRequest{})
		assert.Assert(t, err != nil, "%s: %+v", a.Name, r)
		assert.NilError(t, s.Close())
	}
}

// Guards against a change that operators are told is made, after a response with the
// status 000 or with another broken status line.
func TestBrokenStatus(t *testing.T) {
	expectErrors(t, broken.BrokenStatus(brokenFields, brokenBody))
}

// Guards against a client for which all responses are broken.
func TestSoundResponse(t *testing.T) {
	s, err := broken.New(broken.CloseWrite, broken.Sound(brokenFields, brokenBody))
	assert.NilError(t, err)
	_, err = New(s.Address(), "token").SetDataCentreService(t.Context(), "b", true, message.ServiceRequest{})
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
}

// Guards against a change that operators are told is made, after a response in whose head
// a name has a blank or a control byte, or a line continues the one before.
func TestBrokenField(t *testing.T) {
	expectErrors(t, broken.BrokenField(brokenFields, brokenBody))
}
