// Package body reads request bodies with a size limit and a timeout.
package body

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/galenalatch/galenalatch"
)

// Reader reads request bodies. Both fields are required.
type Reader struct {
	// Limit is the maximum size of a body in bytes.
	Limit int64
	// Timeout bounds the time for reading a body.
	//
	// It replaces http.Server.ReadTimeout, which still applies after the body
	// has been read and then cancels requests that take longer.
	Timeout time.Duration
}

// Read returns the body of r. Before reading, it calls reserve with the number of
// bytes expected: the content length, or Limit if the length is not known. After
// reading, it calls reserve with the difference from the actual number. Errors
// are of KindTooLarge, KindBadRequest or KindCallerClosed, or those of reserve.
func (b Reader) Read(w http.ResponseWriter, r *http.Request, reserve func(n int64) error) ([]byte, error) {
	expected := r.ContentLength
	if expected > b.Limit {
		return nil, galenalatch.KindTooLarge.Errorf("the body has %d bytes, at most %d are allowed", expected, b.Limit)
	}
	if expected < 0 {
		expected = b.Limit
	}
	if err := reserve(expected); err != nil {
		return nil, err
	}
	data, err := b.read(w, r)
	if err != nil {
		return nil, err
	}
	return data, reserve(int64(len(data)) - expected)
}

func (b Reader) read(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	c := http.NewResponseController(w)
	// Response writers without deadlines, such as recorders, do not block.
	_ = c.SetReadDeadline(time.Now().Add(b.Timeout))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, b.Limit))
	_ = c.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return data, nil
	case errors.As(err, &tooLarge):
		return nil, galenalatch.KindTooLarge.Errorf("the body has more than the %d bytes that are allowed", b.Limit)
	case r.Context().Err() != nil:
		return nil, galenalatch.KindCallerClosed.Errorf("read the body: %w", err)
	}
	return nil, galenalatch.KindBadRequest.Errorf("the body could not be read within %v", b.Timeout)
}
