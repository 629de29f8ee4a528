package host

import (
	"bufio"
	"bytes"
	"net/http"

	"github.com/galenalatch/galenalatch"
)

// Rejected describes a request that was rejected before it was parsed.
type Rejected struct {
	Workspace galenalatch.WorkspaceName
	// Tokens is the cost of a stream as in Decision, and 0 for other requests.
	Tokens float64
}

// Identify tells whose request was rejected, by its first bytes. It reports false if they do
// not hold the whole head of a proper request.
func (h *Handler) Identify(first []byte) (Rejected, bool) {
	c := h.View.Configuration()
	if c == nil {
		return Rejected{}, false
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(first)))
	if err != nil {
		return Rejected{}, false
	}
	call, err := h.Headers.Call(r.Header)
	if err != nil {
		return Rejected{}, false
	}
	route, ok := c.Match(r.Host, rawPath(r))
	if !ok {
		return Rejected{}, false
	}
	var rejected Rejected
	if route.Kind == galenalatch.StreamWork {
		rejected.Tokens = tokenCost(call)
	}
	if c.KeysRequired && !route.Public {
		owner, ok := c.Keys[call.Key]
		if !ok {
			return Rejected{}, false
		}
		rejected.Workspace = owner.Workspace
	}
	return rejected, true
}

// tokenCost returns the cost of a stream: its prompt tokens plus twice its output tokens.
func tokenCost(c galenalatch.Call) float64 {
	return float64(c.PromptTokens) + 2*float64(c.MaxOutputTokens)
}
