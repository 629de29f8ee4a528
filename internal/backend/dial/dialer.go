// Package dial opens TCP connections that detect an unresponsive peer, such as a
// host without power or behind a network partition, from which no reset arrives.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer opens TCP connections that break when the peer acknowledges nothing.
// Silence is how long sent bytes or keep-alive probes may stay unacknowledged.
// Probes are sent each second, so that an idle connection breaks after a whole
// number of seconds, at least 1. With 0, sent bytes have the kernel's default
// timeout.
type Dialer struct {
	Silence time.Duration
	// Local is the source IP address. If nil, the kernel selects one.
	Local net.IP
}

const (
	// probeIdle and probeInterval are the shortest times that the kernel
	// allows.
	probeIdle     = time.Second
	probeInterval = time.Second
)

// DialContext opens a connection, like net.Dialer.DialContext.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	n := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: max(int(d.Silence/probeInterval), 1),
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Silence.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	if d.Local != nil {
		n.LocalAddr = &net.TCPAddr{IP: d.Local}
	}
	return n.DialContext(ctx, network, address)
}
