// Package dial opens TCP connections that notice a silent end: a peer without
// power, or a connection that a partition has cut without a reset.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer opens connections on which Silence bounds the time for which sent
// bytes or probes stay without an acknowledgement.
type Dialer struct {
	Silence time.Duration
	// Local is the IP address to dial from, if any.
	Local net.IP
}

const (
	// probeIdle and probeInterval are the shortest that the kernel allows.
	probeIdle     = time.Second
	probeInterval = time.Second
)

// DialContext opens a connection.
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
