package exchange

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/galenalatch/galenalatch/internal/http1/head"
)

const (
	// bufferSize is the size in bytes of the read and write buffers. It holds
	// an event of a stream or the head of a response.
	bufferSize = 4 << 10
	// idleMargin is how long before the idle timeout of the server an idle
	// connection is closed.
	idleMargin = 500 * time.Millisecond
	// defaultIdleTimeout applies to servers that announce no idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxHeadBytes bounds the bytes of all heads that are read in one exchange:
	// those of interim responses, of responses to other requests and of the
	// response itself.
	maxHeadBytes = 32 << 10
)

var errHeadTooLong = fmt.Errorf("the head of the response is longer than %d bytes", maxHeadBytes)

// connection is one connection to a backend server.
type connection struct {
	net.Conn
	reader  *bufio.Reader
	address string
	// readingHead is set while a head is read, headBytesLeft is what remains of
	// maxHeadBytes.
	readingHead   bool
	headBytesLeft int
	// checker checks the bytes of a head.
	checker head.Checker
	// dirty is set when a response to another request was received. Such a
	// connection is not reused.
	dirty bool
	// used is set once an exchange on the connection has ended.
	used bool
	// idleSince is the start of the idle time, idleUntil its timeout.
	idleSince, idleUntil time.Time
}

func newConnection(n net.Conn, address string) *connection {
	k := &connection{Conn: n, address: address}
	k.reader = bufio.NewReaderSize(k, bufferSize)
	k.startIdle(0)
	return k
}

// Read fills the buffer of reader. While a head is read it fails after
// maxHeadBytes, so that a head without end cannot use up the memory, and when the head is
// not valid.
func (k *connection) Read(b []byte) (int, error) {
	if !k.readingHead {
		return k.Conn.Read(b)
	}
	if k.headBytesLeft <= 0 {
		return 0, errHeadTooLong
	}
	n, err := k.Conn.Read(b[:min(len(b), k.headBytesLeft)])
	k.headBytesLeft -= n
	if invalid := k.checker.Check(b[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// readHead reads the head of the final response and skips interim ones (1xx).
func (k *connection) readHead(method string) (*http.Response, error) {
	k.readingHead = true
	defer func() { k.readingHead = false }()
	if err := k.checkBuffered(); err != nil {
		return nil, err
	}
	for {
		response, err := http.ReadResponse(k.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, head.CheckFinal(response.StatusCode)
		}
	}
}

// checkBuffered begins the check of a head with the bytes of it that were read together
// with an earlier response.
func (k *connection) checkBuffered() error {
	k.checker.Begin()
	buffered, err := k.reader.Peek(k.reader.Buffered())
	if err != nil {
		return err
	}
	return k.checker.Check(buffered)
}

// abort closes the connection. An error of Close has no effect on an exchange
// that has ended.
func (k *connection) abort() {
	_ = k.Close()
}

// write writes the request and flushes it.
func (k *connection) write(r *Request) error {
	w := bufio.NewWriterSize(k.Conn, bufferSize)
	for _, s := range []string{r.Method, " ", r.URI, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		// A bufio.Writer keeps its first error for Flush.
		_, _ = w.WriteString(s)
	}
	if err := r.Header.Write(w); err != nil {
		return err
	}
	length := 0
	for _, piece := range r.Body {
		length += len(piece)
	}
	if length > 0 || r.Method != "GET" && r.Method != "HEAD" {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	for _, piece := range r.Body {
		_, _ = w.Write(piece)
	}
	return w.Flush()
}

// startIdle starts the idle time once the connection is open, and again after each
// exchange. The timeout is defaultIdleTimeout if the server announced none.
func (k *connection) startIdle(announced time.Duration) {
	limit := defaultIdleTimeout
	if announced > 0 {
		limit = max(announced-idleMargin, announced/2)
	}
	k.idleSince = time.Now()
	k.idleUntil = k.idleSince.Add(limit)
}

// isReusable reports whether an idle connection is open and has no unread byte.
func (k *connection) isReusable() bool {
	s, ok := k.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = e == unix.EAGAIN
	})
	return err == nil && open
}
