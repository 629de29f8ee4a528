package ingress

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxRejected bounds the rejected connections that are open. Further ones are
	// closed without an answer, so that answers cannot use up the processor.
	maxRejected = 512
	// rejectTime bounds the time for an answer and for what its caller still sends,
	// maxDiscarded the bytes.
	rejectTime   = 500 * time.Millisecond
	maxDiscarded = 256 << 10
	// firstReadSize is the size of the first read. Most requests fit into it.
	firstReadSize = 16 << 10
)

// firstReadBuffers holds buffers of firstReadSize bytes.
var firstReadBuffers = sync.Pool{New: func() any { return new([firstReadSize]byte) }}

// rejecter answers connections without parsing their requests, which costs far less
// processor time than to handle them.
type rejecter struct {
	response []byte
	max      int64
	open     atomic.Int64
	// observe, if set, is called with the first bytes of each request.
	observe func(first []byte)
}

// newRejecter returns a rejecter that answers with 503 and the given header, up to
// maximum connections at a time, or maxRejected if that is 0.
func newRejecter(header http.Header, maximum int) *rejecter {
	if maximum == 0 {
		maximum = maxRejected
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n", http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable))
	// A buffer does not return errors.
	_ = header.Write(&b)
	b.WriteString("\r\n")
	return &rejecter{response: b.Bytes(), max: int64(maximum)}
}

// reject answers a connection in the background, or closes it at once when too many
// are open.
func (r *rejecter) reject(c net.Conn) {
	if r.open.Add(1) > r.max {
		r.close(c)
		return
	}
	go r.run(c)
}

// run answers a connection and closes it. It waits for the request, since callers take
// an answer before it for a broken connection. It reads on after the answer: closing a
// connection with unread bytes resets it, and a caller that sends all of its request
// before it reads would not receive the answer.
func (r *rejecter) run(c net.Conn) {
	defer r.close(c)
	if c.SetDeadline(time.Now().Add(rejectTime)) != nil {
		return
	}
	buffer := firstReadBuffers.Get().(*[firstReadSize]byte)
	n, err := c.Read(buffer[:])
	complete := isComplete(buffer[:n])
	if r.observe != nil && n > 0 {
		r.observe(buffer[:n])
	}
	firstReadBuffers.Put(buffer)
	if err != nil {
		return
	}
	if _, err := c.Write(r.response); err != nil || complete {
		return
	}
	if w, ok := c.(interface{ CloseWrite() error }); ok && w.CloseWrite() != nil {
		return
	}
	// The end of the connection and the deadline are both expected.
	_, _ = io.CopyN(io.Discard, c, maxDiscarded)
}

// isComplete reports whether b is known to hold a whole request, so that the caller
// sends nothing more.
func isComplete(b []byte) bool {
	head, body, ok := bytes.Cut(b, []byte("\r\n\r\n"))
	if !ok {
		return false
	}
	length := 0
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			return false
		case bytes.EqualFold(name, []byte("Content-Length")):
			var err error
			if length, err = strconv.Atoi(string(bytes.TrimSpace(value))); err != nil {
				return false
			}
		}
	}
	return len(body) >= length
}

func (r *rejecter) close(c net.Conn) {
	// Nothing more can be done for a connection that does not close.
	_ = c.Close()
	r.open.Add(-1)
}
