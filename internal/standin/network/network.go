// Package network provides in-memory connections for tests that use the
// synthetic clock of testing/synctest.
package network

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// Network connects dialers with listeners by address. Its connections are
// unbuffered: a write blocks until the peer has read the data.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: make(map[string]*listener)}
}

// Listen opens a listener at address, which can be any string. It returns an
// error if the address is in use. Closing the listener frees the address.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[address]; ok {
		return nil, fmt.Errorf("address %s is in use", address)
	}
	l := &listener{
		network: n, address: address,
		incoming: make(chan net.Conn), closed: make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

// Dial connects to the listener at address and waits until the connection is
// accepted. It returns an error if there is no listener, the listener is closed
// or ctx ends first. It has the signature of net.Dialer.DialContext.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[address]
	n.mu.Unlock()
	if !ok {
		return nil, fmt.Errorf("no listener at %s", address)
	}
	client, server := net.Pipe()
	select {
	case l.incoming <- server:
		return client, nil
	case <-l.closed:
		return nil, fmt.Errorf("listener at %s is closed", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type listener struct {
	network   *Network
	address   string
	incoming  chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
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
