// Package listener serves handlers on the addresses of a process and shuts
// them down without cutting off answers.
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

// Server serves one mux for each address. Register the handlers before Open.
type Server struct {
	headerBytes int
	muxes       map[string]*http.ServeMux
	given       map[string]net.Listener
	servers     []*http.Server
	listeners   []net.Listener
}

// New returns a server without addresses. Headers of requests are bounded by
// headerBytes.
func New(headerBytes int) *Server {
	return &Server{headerBytes: headerBytes, muxes: make(map[string]*http.ServeMux), given: make(map[string]net.Listener)}
}

// Handle registers a handler for a pattern on an address.
func (s *Server) Handle(address, pattern string, h http.Handler) {
	m, ok := s.muxes[address]
	if !ok {
		m = http.NewServeMux()
		s.muxes[address] = m
	}
	m.Handle(pattern, h)
}

// Use makes Open use l for its address, so that a port chosen by the kernel
// stays taken between its choice and Open.
func (s *Server) Use(l net.Listener) {
	s.given[l.Addr().String()] = l
}

// Open listens on all addresses.
func (s *Server) Open() error {
	for _, a := range slices.Sorted(maps.Keys(s.muxes)) {
		l, ok := s.given[a]
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
			MaxHeaderBytes:    s.headerBytes,
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

// Run serves until Shutdown is called or a listener fails.
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

// Shutdown stops to listen and waits until all answers have been sent or ctx
// ends; then the remaining connections are closed.
func (s *Server) Shutdown(ctx context.Context) error {
	var all error
	for _, h := range s.servers {
		if err := h.Shutdown(ctx); err != nil {
			all = errors.Join(all, err, h.Close())
		}
	}
	return all
}
