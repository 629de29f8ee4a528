package rig2

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is one run of a request at a worker.
type Run struct {
	Worker  string
	ID      string
	From    string
	Arrived time.Time
	// Begun is when its first token was made, Ended when the worker no longer worked on
	// it.
	Begun, Ended time.Time
	// Garbled is set when the worker spoiled the answer.
	Garbled bool
	Events  int
	// LastEvent is the value of Last-Event-Id.
	LastEvent string
}

// Worker is a stand-in of a model engine. It prefills, makes events at a steady pace and
// reports its runs as of some time ago.
type Worker struct {
	ID string
	// FirstToken is the time from the arrival of a request to its first token, Gap that
	// between two events. Events is the number of events of each answer.
	FirstToken, Gap time.Duration
	Events          int
	// ReportLag is the age of what a report says.
	ReportLag time.Duration
	// Unframed, if set, reports whether the answer to a request has neither a length nor
	// chunks.
	Unframed func(id string) bool
	// Spoil, if set, reports whether the answer to a request is spoiled: bytes that are no
	// answer are sent in its place. The worker does not notice that the connection closes
	// then and works on.
	Spoil func(id string) bool
	// LineEnd ends the lines of events; empty selects a line feed. text/event-stream also
	// allows a carriage return, and both.
	LineEnd string
	// BreakOff, if set, reports whether the first answer to a request is broken off after
	// BreakAfter events.
	BreakOff   func(id string) bool
	BreakAfter int
	// Note, if set, is called when a run arrives and when it ends.
	Note func(Run)

	listener net.Listener
	mu       sync.Mutex
	runs     []*Run
}

// Listen starts the worker at an address.
func (w *Worker) Listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.listener = l
	go w.run()
	return nil
}

// Address returns the address of the worker.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Close stops listening.
func (w *Worker) Close() error { return w.listener.Close() }

// Runs returns copies of all runs.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make([]Run, 0, len(w.runs))
	for _, r := range w.runs {
		all = append(all, *r)
	}
	return all
}

func (w *Worker) run() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.loop(c)
	}
}

// loop serves the requests of one connection.
func (w *Worker) loop(c net.Conn) {
	defer func() { _ = c.Close() }()
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !w.serve(c, b, r) {
			return
		}
	}
}

func (w *Worker) serve(c net.Conn, b *bufio.Reader, r *http.Request) bool {
	id := r.Header.Get("Attempt-Id")
	switch {
	case r.URL.Path == "/-/report":
		return write(c, answer("200 OK", "Content-Type: application/json\r\n", w.report(time.Now())))
	case r.URL.Path == "/health":
		return write(c, answer("200 OK", "Instance-Id: "+w.ID+"\r\n", ""))
	case id == "":
		return write(c, answer("400 Bad Request", "Not-Executed: 1\r\n", ""))
	case r.Header.Get("Expect-Instance") != w.ID:
		return write(c, answer("421 Misdirected Request", "Attempt-Id: "+id+"\r\nInstance-Id: "+w.ID+"\r\nNot-Executed: 1\r\n", ""))
	}
	return w.stream(c, b, r, id)
}

// report returns what the worker did ReportLag ago.
func (w *Worker) report(now time.Time) string {
	at := now.Add(-w.ReportLag)
	runs := [][]any{}
	w.mu.Lock()
	for _, r := range w.runs {
		if !r.Begun.IsZero() && r.Begun.Before(at) && (r.Ended.IsZero() || r.Ended.After(at)) {
			runs = append(runs, []any{r.ID, 1000, r.Events, 1})
		}
	}
	w.mu.Unlock()
	text, _ := json.Marshal(map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
		"waiting": 0, "running": len(runs), "kvUsed": 1000 * len(runs), "kvTotal": 493270, "handles": 0, "state": "ready", "runs": runs,
	})
	return string(text)
}

// stream runs a request and answers with events.
func (w *Worker) stream(c net.Conn, b *bufio.Reader, r *http.Request, id string) bool {
	run := &Run{Worker: w.ID, ID: id, From: c.RemoteAddr().String(), Arrived: time.Now(), LastEvent: r.Header.Get("Last-Event-Id"), Garbled: w.Spoil != nil && w.Spoil(id)}
	w.mu.Lock()
	w.runs = append(w.runs, run)
	w.note(run)
	w.mu.Unlock()
	gone := make(chan struct{})
	if !run.Garbled {
		go watch(b, gone)
	}
	end := func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		run.Ended = time.Now()
		w.note(run)
	}
	defer end()
	if !pause(w.FirstToken, gone) {
		return false
	}
	w.mu.Lock()
	run.Begun = time.Now()
	w.mu.Unlock()
	if run.Garbled {
		write(c, "\x00\x13\x07 no answer \x00\r\n\r\n")
		_ = pause(time.Duration(w.Events)*w.Gap, gone)
		return false
	}
	unframed := w.Unframed != nil && w.Unframed(id)
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Seal: seal-" + w.ID + "\r\nContent-Type: text/event-stream\r\n"
	if unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	if !write(c, head) {
		return false
	}
	// An id that the worker cannot have given names no event: it begins with the first.
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	breaks := last == 0 && w.BreakOff != nil && w.BreakOff(id)
	for i := last + 1; i <= w.Events; i++ {
		event := strings.ReplaceAll(fmt.Sprintf("id: %d\ndata: %s event %d of %d\n\n", i, id, i, w.Events), "\n", cmp.Or(w.LineEnd, "\n"))
		if !unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if !write(c, event) || i < w.Events && !pause(w.Gap, gone) {
			return false
		}
		w.mu.Lock()
		run.Events = i
		w.mu.Unlock()
		if breaks && i == w.BreakAfter {
			return false
		}
	}
	if unframed {
		return false
	}
	// The goroutine that watches has the reader, so that the connection ends here.
	write(c, "0\r\n\r\n")
	return false
}

// note passes on a run. The caller holds w.mu.
func (w *Worker) note(r *Run) {
	if w.Note != nil {
		w.Note(*r)
	}
}

// watch closes gone when the connection ends.
func watch(b *bufio.Reader, gone chan<- struct{}) {
	_, _ = b.ReadByte()
	close(gone)
}

// pause waits and reports false if the connection ended.
func pause(d time.Duration, gone <-chan struct{}) bool {
	select {
	case <-gone:
		return false
	case <-time.After(d):
		return true
	}
}

func answer(status, header, body string) string {
	return "HTTP/1.1 " + status + "\r\n" + header + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func write(c net.Conn, text string) bool {
	_, err := io.Copy(c, strings.NewReader(text))
	return err == nil
}
