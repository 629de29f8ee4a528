package link

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// bufferedHijacker is a response writer whose reader holds buffered bytes of
// the connection.
type bufferedHijacker struct {
	http.ResponseWriter
	conn     net.Conn
	buffered string
}

func (u bufferedHijacker) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	r := bufio.NewReader(strings.NewReader(u.buffered))
	_, err := r.Peek(len(u.buffered))
	return u.conn, bufio.NewReadWriter(r, bufio.NewWriter(u.conn)), err
}

// Guards against losing the first bytes of a peer that sends its Hello before
// the server has hijacked the connection: the WebSocket library takes over
// only the bytes that are buffered in the reader.
func TestHijackKeepsEarlyBytes(t *testing.T) {
	for _, buffered := range []string{"", "a", strings.Repeat("a", 4096)} {
		local, remote := net.Pipe()
		defer func() { assert.NilError(t, remote.Close()) }()
		defer func() { assert.NilError(t, local.Close()) }()
		_, rw, err := (&countingHijacker{bufferedHijacker{conn: local, buffered: buffered}, nil}).Hijack()
		assert.NilError(t, err)
		assert.Equal(t, rw.Reader.Buffered(), len(buffered))
		got, err := io.ReadAll(io.LimitReader(rw.Reader, int64(len(buffered))))
		assert.NilError(t, err)
		assert.Equal(t, string(got), buffered)
	}
}
