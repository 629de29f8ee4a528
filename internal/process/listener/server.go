// Package listener serves HTTP handlers on several addresses and shuts them down
// gracefully.
package listener

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

// Server serves one http.ServeMux for each address. Create it with New and
// register the handlers before Open.
type Server struct {
	maxHeaderBytes int
	muxes          map[string]*http.ServeMux
	// opened holds the listeners of UseListener by address.
	opened    map[string]net.Listener
	servers   []*http.Server
	listeners []net.Listener
}

// New returns a server without addresses. The header of a request may have
// maxHeaderBytes; 0 means http.DefaultMaxHeaderBytes.
func New(maxHeaderBytes int) *Server {
	return &Server{maxHeaderBytes: maxHeaderBytes, muxes: make(map[string]*http.ServeMux), opened: make(map[string]net.Listener)}
}

// Handle registers a handler for a pattern of http.ServeMux on an address. It
// panics when the pattern is invalid or conflicts with an earlier one.
func (s *Server) Handle(address, pattern string, h http.Handler) {
	m, ok := s.muxes[address]
	if !ok {
		m = http.NewServeMux()
		s.muxes[address] = m
	}
	m.Handle(pattern, h)
}

// UseListener makes Open use l for the address of l. With a port that the kernel
// has chosen, no other process can take the port before Open.
func (s *Server) UseListener(l net.Listener) {
	s.opened[l.Addr().String()] = l
}

// Open listens on all addresses. When one of them fails, it closes the listeners
// opened before and returns the error.
func (s *Server) Open() error {
	for _, a := range slices.Sorted(maps.Keys(s.muxes)) {
		l, ok := s.opened[a]
		var err error
		if !ok {
			l, err = net.Listen("tcp", a)
		}
		if err != nil {
			s.close()
			return fmt.Errorf("listen on %s: %w", a, err)
		}
		s.listeners = append(s.listeners, l)
		s.servers = append(s.servers, &http.Server{
			Handler:           s.muxes[a],
			MaxHeaderBytes:    s.maxHeaderBytes,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
		})
	}
	return nil
}

func (s *Server) close() {
	for _, l := range s.listeners {
		_ = l.Close()
	}
}

// Run serves until Shutdown is called, then returns nil. When listeners fail, it
// returns the first error, but not before the other listeners have ended.
func (s *Server) Run() error {
	var g errgroup.Group
	for i, h := range s.servers {
		g.Go(func() error {
			if err := h.Serve(s.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	return g.Wait()
}

// Shutdown stops listening on all addresses at once and waits until all responses have
// been sent. When ctx ends first, it closes the remaining connections and returns the
// error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	var g errgroup.Group
	failed := make([]error, len(s.servers))
	for i, h := range s.servers {
		g.Go(func() error {
			if err := h.Shutdown(ctx); err != nil {
				failed[i] = errors.Join(err, h.Close())
			}
			return nil
		})
	}
	// The goroutines return no error: each server is shut down whatever the others do.
	_ = g.Wait()
	return errors.Join(failed...)
}
