package entry

import (
	"bytes"
	"maps"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/galenalatch/galenalatch"
)

// meter is a sink that counts the cost of a request and passes the answer on.
// When the answer must be stored, it also keeps a copy.
type meter struct {
	galenalatch.Sink
	entry   *Entry
	request galenalatch.Request
	started time.Time
	pool    galenalatch.Pool

	running       *running
	began         time.Time
	headSent      atomic.Bool
	previousUnits int64

	recording bool
	status    int
	header    http.Header
	body      bytes.Buffer
}

// startAttempt adds the units of the previous attempt to the total and counts
// those of r from now on.
func (m *meter) startAttempt(r *running, p galenalatch.Pool) {
	if m.running != nil {
		m.previousUnits += m.running.units.Load()
	}
	m.running = r
	m.pool = p
	m.began = time.Now()
}

// startRecording makes the meter keep a copy of the answer from now on.
func (m *meter) startRecording() {
	m.recording = true
}

// recordedAnswer returns the part of the answer that passed since
// startRecording.
func (m *meter) recordedAnswer() Answer {
	return Answer{Status: m.status, Header: m.header, Body: m.body.Bytes()}
}

// answerStarted reports whether a part of the answer was passed on, after which
// the request must not be sent again.
func (m *meter) answerStarted() bool {
	return m.headSent.Load()
}

// attemptUnits returns the units of the current attempt.
func (m *meter) attemptUnits() int64 {
	if m.running == nil {
		return 0
	}
	return m.running.units.Load()
}

// totalUnits returns the units of all attempts.
func (m *meter) totalUnits() int64 {
	return m.previousUnits + m.attemptUnits()
}

// Header implements galenalatch.Sink.
func (m *meter) Header(status int, h http.Header) error {
	m.headSent.Store(true)
	if m.recording {
		m.status = status
		m.header = maps.Clone(h)
	}
	return m.Sink.Header(status, h)
}

// Data implements galenalatch.Sink.
func (m *meter) Data(data []byte) error {
	if m.entry != nil && m.previousUnits == 0 && m.attemptUnits() == 0 {
		m.entry.options.Observer.FirstPiece(m.request, time.Since(m.started))
	}
	if m.recording {
		m.body.Write(data)
	}
	return m.Sink.Data(data)
}

// Progress implements galenalatch.Sink.
func (m *meter) Progress(u galenalatch.Usage) {
	if m.running != nil {
		m.running.raiseUnits(u.Units(m.pool))
	}
	m.Sink.Progress(u)
}
