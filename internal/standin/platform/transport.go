package platform

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
)

// transport calls the server in the same process, so that tests can use a
// synthetic clock.
type transport struct {
	server *Server
}

// Transport returns an http.RoundTripper that calls the server without a
// network. The server continues a call after its client has given up.
func (s *Server) Transport() http.RoundTripper {
	return transport{s}
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	x := exchange{server: t.server, request: r.Clone(r.Context()), done: make(chan *http.Response, 1)}
	if x.request.Body == nil {
		x.request.Body = http.NoBody
	}
	go x.run()
	select {
	case resp := <-x.done:
		if resp == nil {
			return nil, errors.New("connection closed")
		}
		return resp, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// exchange is one call through a transport. A nil response on done, from the
// closed channel, means that the handler aborted the call.
type exchange struct {
	server  *Server
	request *http.Request
	done    chan *http.Response
}

func (x exchange) run() {
	w := &recorder{header: http.Header{}}
	defer func() {
		// A handler closes the connection with this panic, as in net/http.
		if e := recover(); e != nil && e != http.ErrAbortHandler {
			panic(e)
		}
		close(x.done)
	}()
	x.server.ServeHTTP(w, x.request)
	x.done <- &http.Response{
		StatusCode:    w.status,
		Status:        http.StatusText(w.status),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        w.header,
		Body:          io.NopCloser(&w.body),
		ContentLength: int64(w.body.Len()),
		Request:       x.request,
	}
}

// recorder is the http.ResponseWriter of an exchange.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) { r.status = status }

// Write implements io.Writer.
func (r *recorder) Write(data []byte) (int, error) {
	if r.status == 0 {
		r.status = http.StatusOK
	}
	return r.body.Write(data)
}
