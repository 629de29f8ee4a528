package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// heartbeat is the time between two writes of a server's entry, retryTime that
	// before a write is tried again while the store is away.
	heartbeat = 1200 * time.Millisecond
	retryTime = 100 * time.Millisecond
	// reportLag is the age of what a server reports.
	reportLag = 100 * time.Millisecond
	// idleTime is the time after which a server closes an idle connection, in whole
	// seconds.
	idleTime = time.Second
	// replyTime is how long a server works on a plain request.
	replyTime = 15 * time.Millisecond
	// firstTokenTime, eventTime and eventCount are those of a stream.
	firstTokenTime = 50 * time.Millisecond
	eventTime      = 100 * time.Millisecond
	eventCount     = 30
)

// execution is one run of a request at a server.
type execution struct {
	worker, request, tenant, path string
	began, ended                  time.Time
}

// worker is a stand-in of a backend server.
type worker struct {
	id, service, zone string
	slots             int
	// born is the Unix millisecond of the start.
	born     int64
	rig      *rig
	listener net.Listener
	server   *http.Server
	stop     chan struct{}
	// streams and reports choose the answers that are lost.
	streams, reports *loss

	mu    sync.Mutex
	runs  []*execution
	lost  int
	beats []time.Time
}

func (r *rig) startWorker(id, service, zone string, slots int) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, zone: zone, slots: slots, born: time.Now().UnixMilli(), rig: r, listener: l, stop: make(chan struct{})}
	w.server = &http.Server{Handler: w, IdleTimeout: idleTime}
	r.workers = append(r.workers, w)
	go w.run()
	r.store.write(w.entry())
	go w.loop()
	return w, nil
}

// run serves until close.
func (w *worker) run() { _ = w.server.Serve(w.listener) }

func (w *worker) close() {
	close(w.stop)
	_ = w.server.Close()
}

func (w *worker) entry() row {
	return jsonRow("servers", w.id, map[string]any{
		"service": w.service, "address": w.listener.Addr().String(), "zone": w.zone, "version": "v1", "slots": w.slots, "state": "ready",
		"coldLeftMs": 0, "sequence": 1, "born": w.born, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
	})
}

// loop writes the heartbeats.
func (w *worker) loop() {
	for wait := heartbeat; ; {
		select {
		case <-w.stop:
			return
		case <-time.After(wait):
		}
		wait = retryTime
		if w.rig.store.writeIfChanged(w.entry()) {
			w.mu.Lock()
			w.beats = append(w.beats, time.Now())
			w.mu.Unlock()
			wait = heartbeat
		}
	}
}

// writeAgain writes again what the server has written between two times.
func (w *worker) writeAgain(from, to time.Time) {
	w.mu.Lock()
	n := 0
	for _, at := range w.beats {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	w.mu.Unlock()
	for range n {
		w.rig.store.write()
	}
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	out.Header().Set("Instance-Load", fmt.Sprintf("1,0,%d", w.slots))
	out.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(idleTime.Seconds())))
	switch r.URL.Path {
	case "/health":
		out.Header().Set("Instance-Id", w.id)
		return
	case "/-/report":
		w.report(out)
		return
	}
	request := r.Header.Get("Attempt-Id")
	out.Header().Set("Attempt-Id", request)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request == "" {
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	x := &execution{worker: w.id, request: request, tenant: r.Header.Get("Tenant"), path: r.URL.Path, began: time.Now()}
	w.mu.Lock()
	w.runs = append(w.runs, x)
	w.mu.Unlock()
	w.rig.record("%s runs %s of tenant %q, last event %q", w.id, request, x.tenant, r.Header.Get("Last-Event-Id"))
	out.Header().Set("Response-Seal", "seal-"+request+"-"+w.id)
	if r.Header.Get("Token-Count") != "" {
		w.stream(out, r, x)
		return
	}
	time.Sleep(replyTime)
	w.end(x)
	_, _ = out.Write([]byte("done " + request + "\n"))
}

func (w *worker) end(x *execution) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x.ended = time.Now()
}

// stream answers with events. If the answer is to be lost, the connection is reset before
// the first event and the request runs on to its end. Otherwise the run ends with its
// connection.
func (w *worker) stream(out http.ResponseWriter, r *http.Request, x *execution) {
	defer w.end(x)
	first := 1
	if _, err := fmt.Sscan(r.Header.Get("Last-Event-Id"), &first); err == nil {
		first++
	}
	time.Sleep(firstTokenTime)
	if w.streams.next() {
		w.reset(out)
		w.mu.Lock()
		w.lost++
		w.mu.Unlock()
		w.rig.record("%s loses its answer to %s and works on", w.id, x.request)
		time.Sleep(time.Duration(eventCount-first+1) * eventTime)
		w.rig.record("%s has run %s to its end", w.id, x.request)
		return
	}
	out.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(out)
	for i := first; i <= eventCount; i++ {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: token %d of %s\n\n", i, i, x.request); err != nil || control.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventTime):
		}
	}
}

// reset breaks off the connection of a request.
func (w *worker) reset(out http.ResponseWriter) {
	c, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// report answers with the state of the server as it was reportLag ago. With REPORTS=0 this
// answer is never lost.
func (w *worker) report(out http.ResponseWriter) {
	if os.Getenv("REPORTS") != "0" && w.reports.next() {
		w.rig.record("%s loses its answer to a call for its report", w.id)
		w.reset(out)
		return
	}
	at := time.Now().Add(-reportLag)
	runs := []any{}
	w.mu.Lock()
	for _, x := range w.runs {
		if x.began.Before(at) && (x.ended.IsZero() || x.ended.After(at)) {
			runs = append(runs, []any{x.request, 1000, 1, 0})
		}
	}
	w.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	// The client finds an incomplete response.
	_ = json.NewEncoder(out).Encode(map[string]any{
		"stage": "both", "state": "ready", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 0,
		"waiting": 0, "running": len(runs), "kvUsed": 1000 * len(runs), "kvTotal": 493270, "handles": 0, "pinned": 0, "held": 0, "next": 0, "runs": runs,
	})
}

// executions returns the runs of a server so far.
func (w *worker) executions() []execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []execution
	for _, x := range w.runs {
		all = append(all, *x)
	}
	return all
}
