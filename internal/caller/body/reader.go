// Package body reads the bodies of callers' requests within bounds of size
// and time.
package body

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/galenalatch/galenalatch"
)

// Reader reads request bodies.
type Reader struct {
	// Limit bounds the bytes of a body.
	Limit int64
	// Timeout bounds the time for reading a body.
	//
	// It replaces http.Server.ReadTimeout, which goes on after the body was
	// read and cancels the requests that take longer.
	Timeout time.Duration
}

// Read returns the body of r. Errors are of KindTooLarge, KindBadRequest or
// KindCallerGone, or those of hold, which is called with the number of bytes
// before they are read. A body without a known length counts as the largest
// one until it has been read.
func (b Reader) Read(w http.ResponseWriter, r *http.Request, hold func(n int64) error) ([]byte, error) {
	expected := r.ContentLength
	if expected > b.Limit {
		return nil, galenalatch.KindTooLarge.Errorf("the body has %d bytes, at most %d are allowed", expected, b.Limit)
	}
	if expected < 0 {
		expected = b.Limit
	}
	if err := hold(expected); err != nil {
		return nil, err
	}
	data, err := b.read(w, r)
	if err != nil {
		return nil, err
	}
	return data, hold(int64(len(data)) - expected)
}

func (b Reader) read(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	c := http.NewResponseController(w)
	// Writers without deadlines, such as recorders, do not block.
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
		return nil, galenalatch.KindCallerGone.Errorf("read the body: %w", err)
	}
	return nil, galenalatch.KindBadRequest.Errorf("the body could not be read within %v", b.Timeout)
}
