package exchange

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a server that counts as running because the kernel has accepted a
// connection for it while it ended: a process that ends closes its connections before
// its listener.
func TestRefusesEndingServer(t *testing.T) {
	for _, tt := range []struct {
		name string
		// after is the time from the connection to the end of the listener; 0 keeps it.
		after time.Duration
		ended bool
	}{
		{"running", 0, false},
		{"ends after the connection", settleTime / 4, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			dialed := make(chan struct{}, probeDials)
			c := New(Options{Dial: (&net.Dialer{}).DialContext, DialTimeout: time.Second, ProbeTimeout: time.Second, MaxIdle: 1, OnDial: func() { dialed <- struct{}{} }})
			refused := make(chan bool, 1)
			go func() { refused <- c.Refuses(t.Context(), "s1", l.Addr().String()) }()
			<-dialed
			if tt.after > 0 {
				time.Sleep(tt.after)
				// The kernel resets the connection, which was never accepted.
				assert.NilError(t, l.Close())
			}
			assert.Equal(t, <-refused, tt.ended)
			assert.Equal(t, c.HasIdle("s1"), !tt.ended)
			if tt.after == 0 {
				assert.NilError(t, l.Close())
			}
		})
	}
}

// Guards against a server that counts as ended because it resets the connections beyond
// those that it takes.
func TestFullServerListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	c := New(Options{Dial: (&net.Dialer{}).DialContext, DialTimeout: time.Second, ProbeTimeout: time.Second, MaxIdle: 1})
	assert.Assert(t, !c.Refuses(t.Context(), "s1", l.Addr().String()))
	assert.Assert(t, !c.HasIdle("s1"))
	assert.NilError(t, l.Close())
	assert.Assert(t, c.Refuses(t.Context(), "s1", l.Addr().String()))
}
