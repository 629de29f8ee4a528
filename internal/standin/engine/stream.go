package engine

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/galenalatch/galenalatch/internal/standin/process"
)

// stream is the state that the engine keeps for a stream to resume it.
type stream struct {
	id          string
	bodyHash    [sha256.Size]byte
	generation  int
	run         *process.Run
	done        chan struct{}
	expiryTimer *time.Timer
}

// registerStream makes the stream that the run n generates available to
// resumption.
func (e *Server) registerStream(id string, n *process.Run, body []byte) *stream {
	s := &stream{
		id: id, bodyHash: sha256.Sum256(body), generation: e.Generation(),
		run: n, done: make(chan struct{}),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[id] = s
	return s
}

// finishStream ends the run of a stream. The stream can be resumed within the
// resume window.
func (e *Server) finishStream(s *stream) {
	// The run ends first, so that it does not count as running together with
	// the run that resumes the stream.
	s.run.End()
	close(s.done)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.id] != s {
		return
	}
	s.expiryTimer = time.AfterFunc(e.settings.ResumeWindow, func() { e.removeStream(s) })
}

// removeStream ends the resume window of s, unless a newer stream has replaced it.
func (e *Server) removeStream(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
}

// resumeStream reports whether the stream of a request can be resumed. It cancels
// the previous run, whose broken connection may not have been detected yet, and
// waits for its end.
func (e *Server) resumeStream(ctx context.Context, id string, body []byte) bool {
	e.mu.Lock()
	s := e.streams[id]
	e.mu.Unlock()
	if s == nil || s.generation != e.Generation() || s.bodyHash != sha256.Sum256(body) {
		return false
	}
	s.run.Cancel()
	select {
	case <-s.done:
	case <-ctx.Done():
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[id] != s {
		return false
	}
	if s.expiryTimer != nil {
		s.expiryTimer.Stop()
	}
	return true
}

// writeStream sends the events after lastEvent, and [DONE].
func (e *Server) writeStream(w http.ResponseWriter, n *process.Run, a response, lastEvent int) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream; charset=utf-8")
	h.Set("Cache-Control", "no-cache")
	flush := http.NewResponseController(w)
	remainingBytes := n.BreakBytes
	for i := lastEvent + 1; i <= a.eventCount()+1; i++ {
		if i > lastEvent+1 && i <= a.request.MaxTokens && e.SimulateWork(n.Context(), e.settings.TokenTime) != nil {
			n.End()
			process.Abort(w)
			return
		}
		text, err := formatEvent(a, i)
		if err != nil {
			n.End()
			process.Abort(w)
			return
		}
		if n.BreakAfter > 0 && i > lastEvent+n.BreakAfter {
			n.End()
			process.Abort(w)
			return
		}
		if n.BreakBytes > 0 && len(text) > remainingBytes {
			n.End()
			_, _ = w.Write(text[:remainingBytes])
			_ = flush.Flush()
			process.Abort(w)
			return
		}
		remainingBytes -= len(text)
		if i > a.eventCount() {
			n.Complete()
			if n.CloseWithoutResponse {
				process.Abort(w)
				return
			}
		}
		if _, err := w.Write(text); err != nil {
			return
		}
		if err := flush.Flush(); err != nil {
			return
		}
	}
}

// formatEvent returns event i in the format of server-sent events. The event after
// the last one is [DONE].
func formatEvent(a response, i int) ([]byte, error) {
	if i > a.eventCount() {
		return []byte("data: [DONE]\n\n"), nil
	}
	b, err := json.Marshal(a.chunk(i))
	if err != nil {
		return nil, err
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", i, b)
	return text.Bytes(), nil
}
