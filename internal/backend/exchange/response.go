package exchange

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// maxDiscard and discardWait bound the bytes and the time that Discard reads.
	maxDiscard  = 64 << 10
	discardWait = 50 * time.Millisecond
	// maxForeignBody bounds, in bytes, the body of a late response to another
	// request that is skipped.
	maxForeignBody = 1 << 20
	// maxForeignResponses is the number of responses to other requests that
	// are skipped before the exchange fails.
	maxForeignResponses = 2
)

// Response is the response of a backend server. The caller must call Close
// after it has read Body to its end, and Discard or Abort otherwise.
type Response struct {
	Status int
	Header http.Header
	Head   galenalatch.ResponseHead
	// Body returns an error other than io.EOF when the response is cut off. A body that
	// ends with the connection is cut off unless the server has closed it in order.
	Body io.Reader
	// Length is the announced length of the body in bytes, or -1 if unknown.
	Length int64

	connection *connection
	response   *http.Response
	client     *Client
	request    *Request
	upload     *upload
	stopAbort  func() bool
	closed     bool
}

// readResponse reads the head of the response with the id of the request. It
// skips a bounded number of responses to other requests. On a new connection it
// accepts one without an id that states that the request was not run; on a used one
// that may be a late response to an earlier request.
func (a *Response) readResponse(r *Request) error {
	a.connection.headBytesLeft = maxHeadBytes
	for range 1 + maxForeignResponses {
		response, err := a.connection.readHead(r.Method)
		if err != nil {
			return fmt.Errorf("read the response: %w", err)
		}
		head := a.client.Headers.Response(response.StatusCode, response.Header)
		if head.ID == r.ID || head.ID == "" && !head.Sealed && head.NotRun && !a.connection.used {
			a.Status, a.Header, a.Head, a.response = response.StatusCode, response.Header, head, response
			a.Body, a.Length = response.Body, response.ContentLength
			if a.CloseDelimited() {
				a.Body = &delimitedBody{response.Body, a.upload}
			}
			return nil
		}
		a.connection.dirty = true
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBody))
		if err != nil || n == maxForeignBody || response.Close {
			return fmt.Errorf("received a response to another request %q", head.ID)
		}
	}
	return errors.New("received only responses to other requests")
}

// CloseDelimited reports whether the body has neither a length nor chunks, so
// that it ends with the connection.
func (a *Response) CloseDelimited() bool {
	return a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0
}

// Close ends the exchange after Body was read to its end, and returns the
// connection to the pool if it can be reused.
func (a *Response) Close() {
	if a.closed {
		return
	}
	a.closed = true
	err := a.upload.wait()
	stopped := a.stopAbort()
	k := a.connection
	if !stopped || err != nil || a.response.Close || a.CloseDelimited() || k.dirty || k.reader.Buffered() > 0 {
		k.abort()
		return
	}
	k.used = true
	k.startIdle(a.Head.KeepAlive)
	a.client.putIdle(a.request.Server, k)
}

// Discard reads a short body to its end, so that the connection can be reused.
// It closes the connection when the body is long or arrives slowly.
func (a *Response) Discard() {
	// Without a deadline the end of the context of Send ends the read.
	_ = a.connection.SetReadDeadline(time.Now().Add(discardWait))
	n, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxDiscard))
	if err != nil || n == maxDiscard || a.connection.SetReadDeadline(time.Time{}) != nil {
		a.Abort()
		return
	}
	a.Close()
}

// Abort closes the connection, upon which the server cancels the request if it
// still runs. It does nothing after Close or Abort.
func (a *Response) Abort() {
	if a.closed {
		return
	}
	a.closed = true
	a.stopAbort()
	a.connection.abort()
}
