package exchange

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// writeWait is how long an exchange whose response was read waits for the request to be
// written completely.
const writeWait = 20 * time.Millisecond

// pastDeadline is a deadline that has passed. It ends a write that waits.
var pastDeadline = time.Unix(1, 0)

// upload writes a request while its response is read. Its methods are called by the
// goroutine that reads the response, but for run.
type upload struct {
	connection *connection
	request    *Request
	done       chan error
	// ended is set once the result was received from done. err is the result.
	ended bool
	err   error
}

// startUpload writes the request. It returns before the request was written if it has a
// body, since the server may respond before it has read that.
func startUpload(k *connection, r *Request) *upload {
	u := &upload{connection: k, request: r, done: make(chan error, 1)}
	if len(r.Body) == 0 {
		u.ended, u.err = true, k.write(r)
		return u
	}
	go u.run()
	return u
}

// run writes the request.
func (u *upload) run() {
	u.done <- u.connection.write(u.request)
}

// wait waits up to writeWait until the request is written completely. The response can
// be read before the goroutine that writes the request is scheduled again.
func (u *upload) wait() error {
	if u.ended {
		return u.err
	}
	limit := time.NewTimer(writeWait)
	defer limit.Stop()
	select {
	case u.err = <-u.done:
		u.ended = true
		return u.err
	case <-limit.C:
		return errors.New("the server responded before the request was written completely")
	}
}

// stop ends the upload and returns the error with which the connection broke, if any.
//
// The kernel reports a broken connection once. When the upload has received that error, a
// read finds the end of the connection, as if the server had closed it in order. EPIPE is
// not such an error: the server had closed its side before, so that all that it had sent
// was received.
func (u *upload) stop() error {
	if !u.ended {
		// If the deadline cannot be set, the connection is closed and the write has ended.
		_ = u.connection.SetWriteDeadline(pastDeadline)
		u.ended, u.err = true, <-u.done
	}
	if errors.Is(u.err, os.ErrDeadlineExceeded) || errors.Is(u.err, syscall.EPIPE) {
		return nil
	}
	return u.err
}
