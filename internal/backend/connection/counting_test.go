package connection

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// slowConn has written the bytes some time before Write returns.
type slowConn struct {
	net.Conn
	wrote, returns chan struct{}
}

func (s slowConn) Write(b []byte) (int, error) {
	close(s.wrote)
	<-s.returns
	return len(b), nil
}

// Guards against counting the boot check as a part of the request after it:
// when its write returns late, a request that was never sent would be told as
// one with an unknown outcome, and its key would stay claimed.
func TestLateWriteOfRequestBefore(t *testing.T) {
	s := slowConn{wrote: make(chan struct{}), returns: make(chan struct{})}
	c := &countingConn{Conn: s}
	done := make(chan error)
	go func() {
		_, err := c.Write([]byte("GET"))
		done <- err
	}()
	<-s.wrote
	assert.Assert(t, !c.untouched())
	c.arm()
	assert.Assert(t, c.untouched())
	close(s.returns)
	assert.NilError(t, <-done)
	assert.Assert(t, c.untouched())
}
