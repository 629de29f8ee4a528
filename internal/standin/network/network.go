// Package network is a network in memory, for tests that control the time
// with testing/synctest.
package network

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// Network connects dialers with listeners by address. Its connections have
// no buffer: a write waits for its reader.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: make(map[string]*listener)}
}

// Listen opens a listener at an unused address.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[address]; ok {
		return nil, fmt.Errorf("address %s is in use", address)
	}
	l := &listener{
		network: n, address: address,
		accepts: make(chan net.Conn), closed: make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

// Dial connects to the listener at address. It has the signature of
// net.Dialer.DialContext.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[address]
	n.mu.Unlock()
	if !ok {
		return nil, fmt.Errorf("nobody listens at %s", address)
	}
	client, server := net.Pipe()
	select {
	case l.accepts <- server:
		return client, nil
	case <-l.closed:
		return nil, fmt.Errorf("listener at %s is closed", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type listener struct {
	network *Network
	address string
	accepts chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepts:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr {
	return address(l.address)
}

type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }
