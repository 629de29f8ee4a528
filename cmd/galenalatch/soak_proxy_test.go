//go:build linux

package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does with connections.
type mode string

const (
	passing mode = "passing"
	// delaying proxies hold each piece for a while.
	delaying mode = "delaying"
	// resetting proxies reset open connections and new ones.
	resetting mode = "resetting"
	// silent proxies keep connections open and pass nothing.
	silent mode = "silent"
	// oneWay proxies pass requests and no answers.
	oneWay mode = "one way"
)

const proxyDelay = 150 * time.Millisecond

// proxy stands between the gateways and one stand-in.
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
	p := &proxy{listener: l, target: target, mode: passing, conns: make(map[net.Conn]bool)}
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) is(m mode) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == m
}

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == resetting {
		for c := range p.conns {
			reset(c)
		}
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// Without the option the peer sees an end instead.
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
		if p.is(resetting) {
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

// loop passes one direction of a connection.
func (p *proxy) loop(from, to net.Conn, answers bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.is(delaying) {
			time.Sleep(proxyDelay)
		}
		for p.is(silent) {
			time.Sleep(proxyDelay / 10)
		}
		if n > 0 && !(answers && p.is(oneWay)) {
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
