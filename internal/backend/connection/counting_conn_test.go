package connection

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// slowConn writes the bytes at once but returns from Write only after proceed
// was closed.
type slowConn struct {
	net.Conn
	wrote, proceed chan struct{}
}

func (s slowConn) Write(b []byte) (int, error) {
	close(s.wrote)
	<-s.proceed
	return len(b), nil
}

// Guards against counting bytes of the boot check for the next request: when the
// write of the check returns late, a request that was never sent would be
// reported with an unknown outcome, and its idempotency key would stay claimed.
func TestLateWriteOfPreviousRequest(t *testing.T) {
	s := slowConn{wrote: make(chan struct{}), proceed: make(chan struct{})}
	c := &countingConn{Conn: s}
	done := make(chan error)
	go func() {
		_, err := c.Write([]byte("GET"))
		done <- err
	}()
	<-s.wrote
	assert.Assert(t, !c.nothingWritten())
	c.startRequest()
	assert.Assert(t, c.nothingWritten())
	close(s.proceed)
	assert.NilError(t, <-done)
	assert.Assert(t, c.nothingWritten())
}
