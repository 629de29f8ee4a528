// Package transport makes HTTP/1 calls and rejects responses with an invalid head, which
// net/http accepts. See package head.
package transport

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/galenalatch/galenalatch/internal/http1/head"
)

// Transport implements http.RoundTripper. It is safe for concurrent use.
//
// Of a response over TLS only the status is checked, since the head is encrypted in the
// bytes of the connection.
type Transport struct {
	http *http.Transport
}

// New returns a transport that makes its calls with t. It changes how t opens
// connections, so that t must not be used for anything else.
func New(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return &Transport{http: t}
}

// RoundTrip implements http.RoundTripper. A response with an invalid head is an error
// that wraps a *head.InvalidError. Like net/http after a connection that has ended, it may
// repeat a request that changes nothing on a new connection.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*conn); ok {
			c.beginHead()
		}
	}})
	response, err := t.http.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusSwitchingProtocols && r.Header.Get("Upgrade") != "" {
		return response, nil
	}
	if err := head.CheckFinal(response.StatusCode); err != nil {
		// The response is not used; an error of Close changes nothing.
		_ = response.Body.Close()
		return nil, fmt.Errorf("status %d: %w", response.StatusCode, err)
	}
	return response, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.http.CloseIdleConnections() }
