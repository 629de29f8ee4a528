package host

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/backend/exchange"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
)

const (
	// maxBufferedBody bounds, in bytes, the response bodies that are read
	// completely before the head is sent to the caller. Until then another
	// attempt can replace the response.
	maxBufferedBody = 256 << 10
	// maxOpenBody bounds, in bytes, the bodies whose length is unknown.
	maxOpenBody = 64 << 20
)

// responseError is a response of a backend server that is not a success. notRun is
// set when the server did not run the request.
type responseError struct {
	status int
	notRun bool
	// misdirected is set when another server than the addressed one responded.
	misdirected bool
}

// Error implements error.
func (e *responseError) Error() string {
	if e.notRun {
		return fmt.Sprintf("the backend server responded with status %d and did not run the request", e.status)
	}
	return fmt.Sprintf("the backend server responded with status %d", e.status)
}

// bufferedResponse is a response whose body was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   bufferedBody
}

// attempt sends the request to a server and forwards the response to the caller.
func (t *transaction) attempt(ctx context.Context, p *placement.Reservation) error {
	a, err := t.send(ctx, p)
	if err != nil {
		return err
	}
	if a.Head.NotRun {
		return t.discardNotRun(a)
	}
	if t.route.Kind == galenalatch.StreamWork && a.Status == http.StatusOK {
		return t.forwardStream(ctx, a, p)
	}
	if t.headSent {
		// The head of another response was already sent to the caller.
		a.Abort()
		return &responseError{status: a.Status}
	}
	return t.forwardBuffered(ctx, a, p)
}

// discardNotRun ends an exchange with a server that did not run the request.
func (t *transaction) discardNotRun(a *exchange.Response) error {
	a.Discard()
	return &responseError{status: a.Status, notRun: true, misdirected: a.Head.Misdirected}
}

var errServerEnded = errors.New("the backend server ended with a body of unknown length")

// checkEnd returns an error if a body that ends with its connection may have been
// cut off because its server has ended. A planned end counts as well: a server that
// leaves may exit inside its answers.
func (t *transaction) checkEnd(ctx context.Context, a *exchange.Response, p *placement.Reservation) error {
	if a.CloseDelimited() && t.h.Client.Refuses(ctx, p.Server, p.Address) {
		return errServerEnded
	}
	return nil
}

var errUnsealed = errors.New("the response does not come from the service")

// forwardBuffered reads the whole response before it sends it to the caller. A
// server error of a repeatable request is kept for the case that no other server
// succeeds.
func (t *transaction) forwardBuffered(ctx context.Context, a *exchange.Response, p *placement.Reservation) error {
	if !a.Head.Sealed && a.Status < http.StatusMultipleChoices {
		a.Abort()
		return errUnsealed
	}
	body, err := t.readAnswer(a)
	if err == nil && body.whole {
		err = t.checkEnd(ctx, a, p)
	}
	if err != nil {
		a.Abort()
		t.account.Release(body.charged)
		return errors.Join(context.Cause(ctx), fmt.Errorf("read the response body: %w", err))
	}
	t.answer.first = time.Now()
	t.h.Table.RecordFirstToken(t.answer.first, p)
	t.decision.FirstByte = time.Since(t.arrival)
	repeat := a.Status >= http.StatusInternalServerError && t.route.Repeatable()
	switch {
	case body.short && repeat:
		a.Abort()
		t.account.Release(body.charged)
		return &responseError{status: a.Status}
	case !body.whole:
		return t.forwardUnbuffered(ctx, a, p, body)
	}
	a.Close()
	b := &bufferedResponse{status: a.Status, header: t.h.Headers.ForwardResponse(a.Header), body: body}
	if repeat {
		t.failedResponse = b
		return &responseError{status: a.Status}
	}
	if a.Status < http.StatusMultipleChoices {
		t.recordFirstEvent()
	}
	t.h.Events.Ended(t.call.ID, t.decision, a.Status, nil)
	b.write(t)
	return nil
}

// forwardUnbuffered forwards a response that is too long to buffer, or for which there
// is no memory. No other attempt can replace it once its head was sent.
func (t *transaction) forwardUnbuffered(ctx context.Context, a *exchange.Response, p *placement.Reservation, body bufferedBody) error {
	t.sendHead(a, a.Length)
	err := body.write(t.w)
	body.pieces = nil
	t.account.Release(body.charged)
	if err == nil {
		err = t.copyRest(a, body.size)
	}
	if err == nil {
		err = t.checkEnd(ctx, a, p)
	}
	if err != nil {
		a.Abort()
		return fmt.Errorf("forward the response body: %w", err)
	}
	a.Close()
	t.h.Events.Ended(t.call.ID, t.decision, a.Status, nil)
	return nil
}

// copyRest forwards the body after the bytes that were sent before.
func (t *transaction) copyRest(a *exchange.Response, sent int64) error {
	if a.Length >= 0 {
		_, err := io.Copy(t.w, a.Body)
		return err
	}
	limit := maxOpenBody - sent
	n, err := io.Copy(t.w, io.LimitReader(a.Body, limit))
	if err == nil && n == limit {
		err = fmt.Errorf("a body of unknown length is longer than %d bytes", maxOpenBody)
	}
	return err
}

// write sends the response to the caller.
func (b *bufferedResponse) write(t *transaction) {
	copyHeader(t.w.Header(), b.header)
	t.w.Header().Set("Content-Length", strconv.FormatInt(b.body.size, 10))
	t.w.WriteHeader(b.status)
	// A write error means that the connection is broken; net/http closes it.
	_ = b.body.write(t.w)
}

// sendHead sends the head of the response to the caller. A negative length is
// unknown.
func (t *transaction) sendHead(a *exchange.Response, length int64) {
	copyHeader(t.w.Header(), t.h.Headers.ForwardResponse(a.Header))
	if length >= 0 {
		t.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	t.headSent = true
	t.w.WriteHeader(a.Status)
}

// copyHeader copies the fields of from. It suppresses the Date and Content-Type
// fields that net/http would add.
func copyHeader(to, from http.Header) {
	for k, v := range from {
		to[k] = v
	}
	for _, k := range []string{"Date", "Content-Type"} {
		if _, ok := from[k]; !ok {
			to[k] = nil
		}
	}
}
