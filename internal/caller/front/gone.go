package front

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// Gone reports whether the caller of a request has closed its connection. It
// asks the kernel. The HTTP library ends a request's context only when a
// goroutine of its own gets the processor, which under load is later than the
// request is sent on. Contexts of other servers' requests have no connection;
// their callers count as present.
func Gone(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(connectionKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	// Control does not wait for the library, which reads at the same time.
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == nil:
			gone = n == 0
		case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
		default:
			gone = true
		}
	})
	return gone || err != nil
}
