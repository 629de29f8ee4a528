package entry

import (
	"bytes"
	"maps"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/galenalatch/galenalatch"
)

// meter counts what passes through a sink and keeps a copy when the answer
// must be stored.
type meter struct {
	galenalatch.Sink
	entry   *Entry
	request galenalatch.Request
	started time.Time
	pool    galenalatch.Pool

	running *running
	began   time.Time
	head    atomic.Bool
	total   int64

	recording bool
	status    int
	header    http.Header
	body      bytes.Buffer
}

// begin starts the count of one attempt.
func (m *meter) begin(r *running, p galenalatch.Pool) {
	if m.running != nil {
		m.total += m.running.units.Load()
	}
	m.running = r
	m.pool = p
	m.began = time.Now()
}

// record keeps a copy of the answer from now on.
func (m *meter) record() {
	m.recording = true
}

// answer returns the copy.
func (m *meter) answer() Answer {
	return Answer{Status: m.status, Header: m.header, Body: m.body.Bytes()}
}

// sentHead reports whether the caller has seen a part of the answer.
func (m *meter) sentHead() bool {
	return m.head.Load()
}

// attemptUnits returns the units of the current attempt.
func (m *meter) attemptUnits() int64 {
	if m.running == nil {
		return 0
	}
	return m.running.units.Load()
}

// charged returns the units of all attempts.
func (m *meter) charged() int64 {
	return m.total + m.attemptUnits()
}

// Head implements galenalatch.Sink.
func (m *meter) Head(status int, h http.Header) error {
	m.head.Store(true)
	if m.recording {
		m.status = status
		m.header = maps.Clone(h)
	}
	return m.Sink.Head(status, h)
}

// Piece implements galenalatch.Sink.
func (m *meter) Piece(data []byte) error {
	if m.entry != nil && m.total == 0 && m.attemptUnits() == 0 {
		m.entry.options.Observer.FirstPiece(m.request, time.Since(m.started))
	}
	if m.recording {
		m.body.Write(data)
	}
	return m.Sink.Piece(data)
}

// Progress implements galenalatch.Sink.
func (m *meter) Progress(u galenalatch.Usage) {
	if m.running != nil {
		m.running.raise(u.Units(m.pool))
	}
	m.Sink.Progress(u)
}
