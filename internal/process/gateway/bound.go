package gateway

import (
	"net"
	"net/http"
	"slices"
	"sync"
)

// connectionBound bounds the open connections of an http.Server: it closes the oldest one
// when there are too many, so that a new caller is served. Connections that were taken
// over from the server, which are those of known routers, do not count.
type connectionBound struct {
	most int

	mu sync.Mutex
	// open holds the open connections, oldest first.
	open []net.Conn
}

// observe is the ConnState of the http.Server.
func (b *connectionBound) observe(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		b.add(c)
	case http.StateClosed, http.StateHijacked:
		b.remove(c)
	}
}

func (b *connectionBound) add(c net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open = append(b.open, c)
	if len(b.open) <= b.most {
		return
	}
	// Nothing more can be done for a connection that does not close.
	_ = b.open[0].Close()
	b.open = slices.Delete(b.open, 0, 1)
}

func (b *connectionBound) remove(c net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.open, c); i >= 0 {
		b.open = slices.Delete(b.open, i, i+1)
	}
}
