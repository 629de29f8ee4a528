package host

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch/internal/standin/headers"
)

// Guards against a rejected request that counts for another workspace or with another cost
// than if it had been accepted, and against one of which nothing is known that counts at all.
func TestIdentify(t *testing.T) {
	const prompt = headers.Prompt + ": a:40 b:60\r\n"
	tests := []struct {
		name, first string
		known       bool
		rejected    Rejected
	}{
		{"public stream", "POST /stream/1 HTTP/1.1\r\nHost: a.example\r\n" + prompt + "\r\n", true, Rejected{Tokens: 100}},
		{"body to come", "POST /stream/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 90000\r\n" + prompt + "\r\nabc", true, Rejected{Tokens: 100}},
		{"no stream", "GET /keyed/1 HTTP/1.1\r\nHost: a.example\r\n" + headers.IdempotencyKey + ": key-1\r\n" + prompt + "\r\n", true, Rejected{Workspace: "studio"}},
		{"unknown key", "GET /keyed/1 HTTP/1.1\r\nHost: a.example\r\n" + headers.IdempotencyKey + ": key-2\r\n\r\n", false, Rejected{}},
		{"unknown route", "GET /nowhere/1 HTTP/1.1\r\nHost: a.example\r\n\r\n", false, Rejected{}},
		{"broken header", "POST /stream/1 HTTP/1.1\r\nHost: a.example\r\n" + headers.Prompt + ": a\r\n\r\n", false, Rejected{}},
		{"half a head", "POST /stream/1 HTTP/1.1\r\nHost: a.exa", false, Rejected{}},
		{"no request", "\x16\x03\x01", false, Rejected{}},
	}
	h := newFixture(t, configuration()).front.Config.Handler.(*Handler)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rejected, known := h.Identify([]byte(tt.first))
			assert.Equal(t, known, tt.known)
			assert.Equal(t, rejected, tt.rejected)
		})
	}
}
