package ingress

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connectionKey is the context key of the connection of a request.
type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// CallerDisconnected reports whether the caller of a request has closed its
// connection. The argument is the context of the request. CallerDisconnected
// peeks at the socket, because net/http cancels the context only when one of
// its own goroutines is scheduled, which under load is after the request has
// been sent on. It returns false for the context of a request that another
// server accepted, which has no connection, unless that context has ended.
func CallerDisconnected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(connectionKey{}).(*callerConn)
	if !ok {
		return false
	}
	return c.peek() == peekClosed
}

// peekResult is what a connection has to read.
type peekResult int

const (
	peekNothing peekResult = iota
	peekBytes
	peekClosed
)

// peek reports what the next read would find, without waiting for it and without
// reading. A connection without a socket is taken for an open one.
func (c *callerConn) peek() peekResult {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return peekNothing
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return peekClosed
	}
	result := peekNothing
	// Control does not wait for the concurrent read of net/http.
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == nil && n > 0:
			result = peekBytes
		case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
		default:
			result = peekClosed
		}
	})
	if err != nil {
		return peekClosed
	}
	return result
}

// queued returns the number of bytes that the caller has not acknowledged. It is 0 for a
// connection without a socket.
func (c *callerConn) queued() int {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	// An error means that the connection is closed.
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	return n
}
