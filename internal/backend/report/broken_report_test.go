package report

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch/internal/standin/broken"
)

const (
	pageFields = "Content-Type: text/plain\r\n"
	page       = startTimeMetric + " 1\n" + runningMetric + " 7\n" + waitingMetric + " 0\n"
)

// expectNoReport expects an error for each of the answers.
func expectNoReport(t *testing.T, answers []broken.Answer) {
	t.Helper()
	for _, a := range answers {
		s, err := broken.New(broken.CloseWrite, broken.Sound(pageFields, page), a.Bytes)
		assert.NilError(t, err)
		c := New()
		_, err = c.Report(t.Context(), s.Address())
		assert.NilError(t, err)
		// A read on a kept connection may be repeated on a new one.
		s.SetAnswers(a.Bytes)
		l, err := c.Report(t.Context(), s.Address())
		assert.Assert(t, err != nil, "%s: %+v", a.Name, l)
		assert.NilError(t, s.Close())
	}
}

// Guards against a load that is read from a report with the status 000, or with another
// broken status line.
func TestBrokenStatus(t *testing.T) {
	expectNoReport(t, broken.BrokenStatus(pageFields, page))
}

// Guards against a load that is read from a report in whose head a name has a blank or a
// control byte, or a line continues the one before.
func TestBrokenField(t *testing.T) {
	expectNoReport(t, broken.BrokenField(pageFields, page))
}

// Guards against a load that is read from a part of a report: its connection has ended.
func TestCutReport(t *testing.T) {
	whole := startTimeMetric + " 12\n" + runningMetric + " 72\n" + waitingMetric + " 10\n" + leavingMetric + " 1\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(whole))
	chunk := fmt.Sprintf("%x\r\n", len(whole))
	for _, ending := range []broken.Ending{broken.CloseWrite, broken.Reset} {
		for end := range whole {
			for _, answer := range []string{
				"HTTP/1.1 200 OK\r\n\r\n" + whole[:end],
				"HTTP/1.1 200 OK\r\n" + length + "\r\n" + whole[:end],
				"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + whole[:end],
			} {
				s, err := broken.New(ending, answer)
				assert.NilError(t, err)
				l, err := New().Report(t.Context(), s.Address())
				assert.Assert(t, err != nil, "%s, %q: %+v", ending, answer, l)
				assert.NilError(t, s.Close())
			}
		}
	}
}
