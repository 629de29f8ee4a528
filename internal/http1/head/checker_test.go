package head

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/net/http/httpguts"
	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch/internal/standin/broken"
)

const field = "X-Sound: 1\r\n"

// endOfHead returns the number of bytes up to the end of the final head, or -1 if there
// is none. It checks size bytes at once.
func endOfHead(b []byte, size int) (int, error) {
	var c Checker
	c.Begin()
	for i := 0; i < len(b); i += size {
		if err := c.Check(b[i:min(i+size, len(b))]); err != nil {
			return -1, err
		}
		if c.position == outside {
			return min(i+size, len(b)), nil
		}
	}
	return -1, nil
}

// Guards against a head with a broken line that passes, wherever reads divide it.
func TestInvalidHead(t *testing.T) {
	for _, a := range append(broken.BrokenStatus(field, "body"), broken.BrokenField(field, "body")...) {
		for _, size := range []int{1, 2, 7, len(a.Bytes)} {
			_, err := endOfHead([]byte(a.Bytes), size)
			var invalid *InvalidError
			if strings.HasPrefix(a.Name, `"HTTP/1.1 101 `) {
				// Only the caller knows whether it has asked for another protocol.
				err = CheckFinal(http.StatusSwitchingProtocols)
			}
			assert.Assert(t, errors.As(err, &invalid), "%s, %d bytes at once: %v", a.Name, size, err)
		}
	}
}

// Guards against a valid head that is rejected, and against an end of the head that is
// not found.
func TestValidHead(t *testing.T) {
	tests := []string{
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\n\n",
		"HTTP/1.1 200\r\n\r\n",
		"HTTP/1.1 200 \r\nA: \r\n\r\n",
		"HTTP/1.0 599 Network Connect Timeout\r\nA:b\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encodings: a\r\nTransfer-Encodin: b\r\nX-Transfer-Encoding: c\r\n\r\n",
		"HTTP/1.1 200 Tr\u00e8s bien\tdone\r\n!#$%&'*+-.^_`|~09azAZ: \u00e9 : ;\t \r\nB: c\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 404 Not Found\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n\r\n",
	}
	for _, tt := range tests {
		for _, after := range []string{"", "\r\n: no head\x00", "HTTP/1.1 000 Trouble\r\n\r\n"} {
			end, err := endOfHead([]byte(tt+after), 1)
			assert.NilError(t, err)
			assert.Equal(t, end, len(tt), "%q", tt)
		}
	}
}

// Guards against an error that is forgotten, and against one that stays after the next
// head has begun.
func TestBegin(t *testing.T) {
	var c Checker
	assert.NilError(t, c.Check([]byte("HTTP/1.1 000")), "not begun")
	c.Begin()
	assert.Assert(t, c.Check([]byte("HTTP/1.1 000 \r\n")) != nil)
	assert.Assert(t, c.Check([]byte("HTTP/1.1 200 OK\r\n\r\n")) != nil)
	c.Begin()
	assert.NilError(t, c.Check([]byte("HTTP/1.1 200 OK\r\n\r\n")))
}

// FuzzChecker guards against a head that passes although its status or a name is not
// valid, and against another end of the head than the one that net/http finds.
func FuzzChecker(f *testing.F) {
	for _, a := range append(broken.BrokenStatus(field, "body"), broken.BrokenField(field, "body")...) {
		f.Add([]byte(a.Bytes))
	}
	f.Add([]byte("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"))
	f.Fuzz(func(t *testing.T, b []byte) {
		end, err := endOfHead(b, 1)
		if err != nil || end < 0 {
			return
		}
		r := bufio.NewReaderSize(bytes.NewReader(b), len(b)+16)
		for {
			response, err := http.ReadResponse(r, nil)
			if err != nil {
				return
			}
			for name := range response.Header {
				assert.Assert(t, httpguts.ValidHeaderFieldName(name), "%q", name)
			}
			assert.Assert(t, response.StatusCode >= minStatus && response.StatusCode <= maxStatus, "status %d", response.StatusCode)
			if response.StatusCode >= firstFinal || response.StatusCode == switchingProtocols {
				break
			}
		}
		assert.Equal(t, len(b)-r.Buffered(), end)
	})
}
