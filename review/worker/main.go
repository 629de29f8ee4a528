// Command worker is the stand-in of a backend server for the cases of the review. The
// query of a request selects the answer:
//
//	events=N&gap=MS    a stream of N events, one each MS milliseconds
//	bytes=N&gap=MS     N bytes, of which the second half follows MS milliseconds later
//	unframed=1         the answer has no length and ends with its connection
//	spoil=N            bytes that are no chunk follow event N, unless the request goes on
//	                   with a stream; the worker is one of those that work on when their
//	                   connection is closed
//
// It writes a JSON line to its standard output for each request that it runs, with
// the reason why it ended.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

type worker struct {
	id string
	// crashRate is the number of requests in a second above which a cold worker ends,
	// or 0.
	crashRate int

	mu        sync.Mutex
	coldUntil time.Time
	// arrivals are the requests of the last second that arrived while it was cold.
	arrivals []time.Time
	running  map[string]bool
}

func main() {
	w := &worker{running: make(map[string]bool)}
	listen := ""
	flag.StringVar(&w.id, "id", "", "id of the worker")
	flag.StringVar(&listen, "listen", "", "address to listen on")
	flag.IntVar(&w.crashRate, "crash", 0, "requests in a second above which a cold worker crashes")
	flag.Parse()
	s := &http.Server{Addr: listen, Handler: w, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
	fmt.Fprintln(os.Stderr, s.ListenAndServe())
	os.Exit(1)
}

// line is a line of the output.
type line struct {
	At    time.Time `json:"at"`
	What  string    `json:"what"`
	ID    string    `json:"id"`
	Cause string    `json:"cause,omitempty"`
}

func (w *worker) log(what, id, cause string) {
	b, err := json.Marshal(line{time.Now(), what, id, cause})
	if err != nil {
		return
	}
	_, _ = os.Stdout.Write(append(b, '\n'))
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		rw.Header().Set("Instance-Id", w.id)
		if left := w.coldLeft(); left > 0 {
			rw.Header().Set("Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		}
		w.log("health", "", "")
		return
	case "/-/report":
		w.report(rw)
		return
	case "/test/cold":
		w.setCold(r.URL.Query().Get("ms"))
		return
	}
	id := r.Header.Get("Attempt-Id")
	rw.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.arrive(id)
	w.log("runs", id, "")
	w.setRunning(id, true)
	defer w.setRunning(id, false)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.log("ends", id, err.Error())
		return
	}
	rw.Header().Set("Response-Seal", "seal-"+w.id+"-"+id)
	w.log("ends", id, answer(rw, r))
}

// setRunning records that a request begins or ends to run.
func (w *worker) setRunning(id string, running bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if running {
		w.running[id] = true
		return
	}
	delete(w.running, id)
}

// report answers what the worker runs. Each run has its id, the tokens in memory, the
// events made and the priority; the stand-in does not count the last three.
func (w *worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	runs := [][]any{}
	for id := range w.running {
		runs = append(runs, []any{id, 0, 0, 0})
	}
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	// A client that has left gets no report.
	_ = json.NewEncoder(rw).Encode(map[string]any{
		"stage": "both", "models": []any{}, "busy": false, "sequence": 1, "waiting": 0, "running": len(runs),
		"kvUsed": 0, "kvTotal": 493270, "handles": 0, "runs": runs,
	})
	w.log("report", "", "")
}

func (w *worker) coldLeft() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Until(w.coldUntil)
}

// setCold makes the worker cold for a time in milliseconds.
func (w *worker) setCold(ms string) {
	n, err := strconv.Atoi(ms)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coldUntil = time.Now().Add(time.Duration(n) * time.Millisecond)
	w.log("cold", "", ms+" ms")
}

// arrive counts a request. A cold worker crashes when it gets far too many.
func (w *worker) arrive(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if !now.Before(w.coldUntil) {
		w.arrivals = nil
		return
	}
	w.log("arrives while cold", id, "")
	w.arrivals = append(w.arrivals, now)
	for now.Sub(w.arrivals[0]) >= time.Second {
		w.arrivals = w.arrivals[1:]
	}
	if w.crashRate > 0 && len(w.arrivals) > w.crashRate {
		w.log("crashes", id, fmt.Sprintf("%d requests in a second", len(w.arrivals)))
		os.Exit(3)
	}
}

// answer writes the answer and returns how it ended.
func answer(rw http.ResponseWriter, r *http.Request) string {
	q := r.URL.Query()
	gap, _ := strconv.Atoi(q.Get("gap"))
	pause := time.Duration(gap) * time.Millisecond
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	spoil, _ := strconv.Atoi(q.Get("spoil"))
	write, end := framed(rw, r)
	switch {
	case q.Get("unframed") != "":
		write, end = unframed(rw)
	case spoil > 0 && last == 0:
		write, end = spoiled(rw, spoil)
	}
	if write == nil {
		return "no connection"
	}
	defer end()
	if q.Get("events") == "" {
		return plain(q.Get("bytes"), pause, write)
	}
	events, _ := strconv.Atoi(q.Get("events"))
	for i := last + 1; i <= events; i++ {
		if i > last+1 {
			time.Sleep(pause)
		}
		if err := write(fmt.Sprintf("id: %d\ndata: event %d of %d\n\n", i, i, events)); err != nil {
			return fmt.Sprintf("cut after event %d: %v", i-1, err)
		}
	}
	return fmt.Sprintf("after event %d of %d", events, events)
}

// plain writes a body in two halves.
func plain(bytes string, pause time.Duration, write func(string) error) string {
	n, _ := strconv.Atoi(bytes)
	body := strings.Repeat("x", n)
	if err := write(body[:n/2]); err != nil {
		return fmt.Sprintf("cut: %v", err)
	}
	time.Sleep(pause)
	if err := write(body[n/2:]); err != nil {
		return fmt.Sprintf("cut: %v", err)
	}
	return fmt.Sprintf("after %d bytes", n)
}

// framed returns functions that write an answer in chunks and end it.
func framed(rw http.ResponseWriter, r *http.Request) (write func(string) error, end func()) {
	flush := http.NewResponseController(rw)
	return func(s string) error {
		if r.Context().Err() != nil {
			return r.Context().Err()
		}
		if _, err := rw.Write([]byte(s)); err != nil {
			return err
		}
		return flush.Flush()
	}, func() {}
}

// unframed is like framed, for an answer that ends with its connection.
func unframed(rw http.ResponseWriter) (write func(string) error, end func()) {
	conn, w := hijack(rw, "Connection: close\r\n")
	if conn == nil {
		return nil, nil
	}
	return func(s string) error {
		_, _ = w.WriteString(s)
		return w.Flush()
	}, func() { _ = conn.Close() }
}

// spoiled is like framed, for an answer with wrong bytes after a number of writes. Its
// worker works on when the connection is closed.
func spoiled(rw http.ResponseWriter, after int) (write func(string) error, end func()) {
	conn, w := hijack(rw, "Transfer-Encoding: chunked\r\n")
	if conn == nil {
		return nil, nil
	}
	n := 0
	return func(s string) error {
		n++
		chunk := fmt.Sprintf("%x\r\n%s\r\n", len(s), s)
		if n > after {
			chunk = "no chunk\r\n"
		}
		_, _ = w.WriteString(chunk)
		// The worker does not look at the state of the connection.
		_ = w.Flush()
		return nil
	}, func() { _ = conn.Close() }
}

// hijack takes over a connection and writes the head of an answer to it.
func hijack(rw http.ResponseWriter, framing string) (net.Conn, *bufio.Writer) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return nil, nil
	}
	w := bufio.NewWriter(conn)
	// A bufio.Writer keeps its first error for Flush.
	_, _ = w.WriteString("HTTP/1.1 200 OK\r\n" + framing)
	_ = rw.Header().Write(w)
	_, _ = w.WriteString("\r\n")
	return conn, w
}
