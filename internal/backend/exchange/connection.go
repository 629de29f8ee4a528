package exchange

import (
	"bufio"
	"net"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connection is one connection to a backend server.
type connection struct {
	net.Conn
	reader  *bufio.Reader
	address string
	// dirty connections carried bytes that belong to no request of theirs.
	dirty bool
	// since and until bound the time in which the connection is idle.
	since, until time.Time
}

func newConnection(n net.Conn, address string) *connection {
	return &connection{Conn: n, reader: bufio.NewReaderSize(n, readBuffer), address: address}
}

// abort closes the connection. Errors of Close say nothing about an exchange
// that has ended.
func (k *connection) abort() {
	_ = k.Close()
}

// write writes the request.
func (k *connection) write(r *Request) error {
	w := bufio.NewWriterSize(k.Conn, readBuffer)
	for _, s := range []string{r.Method, " ", r.URI, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		// A bufio.Writer keeps its first error for Flush.
		_, _ = w.WriteString(s)
	}
	if err := r.Header.Write(w); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method != "GET" && r.Method != "HEAD" {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(r.Body)
	return w.Flush()
}

// keep starts the idle time after an exchange. A server that announces no
// timeout gets defaultIdle.
func (k *connection) keep(announced time.Duration) {
	limit := defaultIdle
	if announced > 0 {
		limit = max(announced-idleMargin, announced/2)
	}
	k.since = time.Now()
	k.until = k.since.Add(limit)
}

// quiet reports whether an idle connection is open and has no byte to read.
func (k *connection) quiet() bool {
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
