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

// stream is what the engine remembers of a stream so that it can be resumed.
type stream struct {
	id         string
	body       [sha256.Size]byte
	generation int
	run        *process.Run
	done       chan struct{}
	expire     *time.Timer
}

// open remembers the stream that the run n generates.
func (e *Server) open(id string, n *process.Run, body []byte) *stream {
	s := &stream{
		id: id, body: sha256.Sum256(body), generation: e.Generation(),
		run: n, done: make(chan struct{}),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[id] = s
	return s
}

// keep lets the stream be resumed for a while after its run has ended.
func (e *Server) keep(s *stream) {
	// The run ends first, so that a resumed run is not counted beside it.
	s.run.End()
	close(s.done)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.id] != s {
		return
	}
	s.expire = time.AfterFunc(e.settings.ResumeWindow, func() { e.forget(s) })
}

func (e *Server) forget(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
}

// reopen reports whether the stream of a request can be resumed. It ends a
// run whose broken connection has not been noticed yet.
func (e *Server) reopen(ctx context.Context, id string, body []byte) bool {
	e.mu.Lock()
	s := e.streams[id]
	e.mu.Unlock()
	if s == nil || s.generation != e.Generation() || s.body != sha256.Sum256(body) {
		return false
	}
	s.run.Stop()
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
	if s.expire != nil {
		s.expire.Stop()
	}
	return true
}

// stream sends the events after the event first.
func (e *Server) stream(w http.ResponseWriter, n *process.Run, a answer, first int) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream; charset=utf-8")
	h.Set("Cache-Control", "no-cache")
	flush := http.NewResponseController(w)
	budget := n.BreakBytes
	for i := first + 1; i <= a.events()+1; i++ {
		if i > first+1 && i <= a.request.MaxTokens && e.Wait(n.Context(), e.settings.TokenTime) != nil {
			n.End()
			process.Abort(w)
			return
		}
		text, err := frame(a, i)
		if err != nil {
			n.End()
			process.Abort(w)
			return
		}
		if n.BreakAfter > 0 && i > first+n.BreakAfter {
			n.End()
			process.Abort(w)
			return
		}
		if n.BreakBytes > 0 && len(text) > budget {
			n.End()
			_, _ = w.Write(text[:budget])
			_ = flush.Flush()
			process.Abort(w)
			return
		}
		budget -= len(text)
		if i > a.events() {
			n.Complete()
			if n.CloseAfter {
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

// frame returns event i with its framing.
func frame(a answer, i int) ([]byte, error) {
	if i > a.events() {
		return []byte("data: [DONE]\n\n"), nil
	}
	b, err := json.Marshal(a.event(i))
	if err != nil {
		return nil, err
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", i, b)
	return text.Bytes(), nil
}
