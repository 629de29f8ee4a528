package report

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch/internal/standin/endless"
)

// Guards against a router that runs out of memory, or waits for its timeout,
// because the report of a backend server has no end.
func TestEndlessReport(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\n"
		length = "Content-Length: 1000000000\r\n"
	)
	tests := []struct{ name, start, piece string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header value", head + "X-Long: ", "x"},
		{"line of the page", head + "\r\n", "x"},
		{"lines of the page", head + "\r\n", "unknown_metric 1\n"},
		{"lines that are read", head + "\r\n", runningMetric + "{x=\"y\"} 1\n"},
		{"line of the page with a length", head + length + "\r\n", "x"},
		{"lines of the page with a length", head + length + "\r\n", "unknown_metric 1\n"},
		{"lines that are read, with a length", head + length + "\r\n", runningMetric + "{x=\"y\"} 1\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, err := endless.New(tt.start, tt.piece)
			assert.NilError(t, err)
			defer func() { assert.NilError(t, s.Close()) }()
			c := New(WithTimeout(10*time.Second), WithTransport(newTransport(s.Dial)))
			start := time.Now()
			_, err = c.Report(t.Context(), s.Address())
			assert.Assert(t, err != nil)
			assert.Assert(t, time.Since(start) < 10*time.Second, "the report was read until the timeout")
			assert.Assert(t, s.BytesRead() <= 2*maxPageBytes, "%d bytes were read", s.BytesRead())
		})
	}
}
