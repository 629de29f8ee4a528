package openai

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/reply"
)

// sink passes an answer on to the caller while it arrives.
type sink struct {
	writer    *reply.Writer
	start     time.Time
	first     time.Duration
	headSeen  bool
	hideUsage bool
}

// Head implements galenalatch.Sink.
func (s *sink) Head(status int, header http.Header) error {
	s.headSeen = true
	return s.writer.Head(status, header)
}

// Piece implements galenalatch.Sink.
func (s *sink) Piece(data []byte) error {
	if s.first == 0 {
		s.first = time.Since(s.start)
	}
	if !s.writer.Stream() {
		return s.writer.Body(data)
	}
	// The end is marked by the handler, when Submit has returned nil.
	if bytes.Equal(bytes.TrimSpace(data), []byte("[DONE]")) {
		return nil
	}
	if s.hideUsage && onlyUsage(data) {
		return nil
	}
	return s.writer.Event(data)
}

// Progress implements galenalatch.Sink.
func (s *sink) Progress(galenalatch.Usage) {}

// onlyUsage reports whether the chunk carries the usage and no choice.
func onlyUsage(data []byte) bool {
	if !bytes.Contains(data, []byte(`"usage"`)) {
		return false
	}
	var c struct {
		Choices []json.RawMessage `json:"choices"`
		Usage   *json.RawMessage  `json:"usage"`
	}
	return json.Unmarshal(data, &c) == nil && len(c.Choices) == 0 && c.Usage != nil
}
