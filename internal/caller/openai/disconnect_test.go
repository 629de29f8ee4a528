package openai_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/openai"
	"github.com/galenalatch/galenalatch/internal/caller/request"
)

// endlessStream is a Submitter whose stream does not end before its context.
type endlessStream struct {
	ended chan error
}

func (e endlessStream) Submit(ctx context.Context, _ galenalatch.Request, s galenalatch.Sink) error {
	if err := s.Header(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}}); err != nil {
		return err
	}
	if err := s.Data([]byte(chunk("Hello"))); err != nil {
		return err
	}
	<-ctx.Done()
	e.ended <- ctx.Err()
	return galenalatch.KindCallerClosed.Errorf("%w", ctx.Err())
}

// Guards against a request that goes on after its caller has disconnected, with
// a request body of known and of unknown length.
func TestCallerDisconnect(t *testing.T) {
	for _, length := range []int64{0, -1} {
		e := endlessStream{make(chan error, 1)}
		s, _ := start(t, &scriptedSubmitter{})
		s.Config.Handler = openai.New(request.New(e, catalogue, func(*http.Request) (galenalatch.WorkspaceName, error) { return "graz", nil }))
		ctx, cancel := context.WithCancel(t.Context())
		r, err := http.NewRequestWithContext(ctx, "POST", s.URL+openai.ChatPath,
			strings.NewReader(`{"model":"draft","stream":true,"messages":[{"role":"user","content":"x"}]}`))
		assert.NilError(t, err)
		if length < 0 {
			r.ContentLength = length
		}
		resp, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		_, err = resp.Body.Read(make([]byte, 10))
		assert.NilError(t, err)
		cancel()
		assert.ErrorIs(t, <-e.ended, context.Canceled)
	}
}
