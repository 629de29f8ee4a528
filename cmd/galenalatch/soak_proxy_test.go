//go:build linux

package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is the way a proxy treats its connections.
type mode string

const (
	forwarding mode = "passing"
	// delaying adds proxyDelay to each read.
	delaying mode = "delaying"
	// resetting resets open and new connections.
	resetting mode = "resetting"
	// stalling keeps connections open and forwards nothing.
	stalling mode = "silent"
	// droppingResponses forwards requests and drops responses.
	droppingResponses mode = "one way"
)

const proxyDelay = 150 * time.Millisecond

// proxy forwards TCP connections of gateways to one stand-in and can inject
// network faults. Its methods may be called concurrently.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, mode: forwarding, conns: make(map[net.Conn]bool)}
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) hasMode(m mode) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == m
}

// setMode changes the mode of all connections.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == resetting {
		for c := range p.conns {
			reset(c)
		}
	}
}

// reset closes a TCP connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// Without a linger time of 0 the connection ends with a FIN instead.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// run accepts connections until the listener is closed.
func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.hasMode(resetting) {
			reset(c)
			continue
		}
		s, err := net.Dial("tcp", p.target)
		if err != nil {
			reset(c)
			continue
		}
		p.mu.Lock()
		p.conns[c], p.conns[s] = true, true
		p.mu.Unlock()
		go p.loop(c, s, false)
		go p.loop(s, c, true)
	}
}

// loop forwards one direction of a connection until it ends.
func (p *proxy) loop(from, to net.Conn, responses bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.hasMode(delaying) {
			time.Sleep(proxyDelay)
		}
		for p.hasMode(stalling) {
			time.Sleep(proxyDelay / 10)
		}
		if n > 0 && !(responses && p.hasMode(droppingResponses)) {
			if _, e := to.Write(buffer[:n]); e != nil {
				err = e
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			_ = to.Close()
			_ = from.Close()
			p.mu.Lock()
			delete(p.conns, from)
			p.mu.Unlock()
			return
		}
	}
}
