package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyTime is how long the store keeps its history.
const historyTime = 20 * time.Second

// row is a row of the store in its JSON form.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"tombstone,omitempty"`
}

func (r row) name() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// page is a response with rows in its JSON form.
type page struct {
	Rows        []row  `json:"rows"`
	More        bool   `json:"hasMore"`
	Version     uint64 `json:"ver"`
	ClockMillis int64  `json:"nowMs"`
}

// content is what a copy of the store holds.
type content struct {
	version uint64
	rows    map[string]row
}

func (c content) clone() content { return content{c.version, maps.Clone(c.rows)} }

// committed is the version after a transaction and its time.
type committed struct {
	at      time.Time
	version uint64
}

// store is a stand-in of the platform's store.
type store struct {
	listener net.Listener
	server   *http.Server
	start    time.Time

	mu sync.Mutex
	content
	era     int
	history []committed
	away    bool
	conns   map[net.Conn]bool
	changed chan struct{}
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, start: time.Now(), content: content{rows: make(map[string]row)}, conns: make(map[net.Conn]bool), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.list)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	s.server = &http.Server{Handler: mux, ConnState: s.observe}
	go s.run()
	return s, nil
}

// run serves until close.
func (s *store) run() { _ = s.server.Serve(s.listener) }

func (s *store) close() { _ = s.server.Close() }

func (s *store) address() string { return s.listener.Addr().String() }

// observe closes connections at once while the store is away.
func (s *store) observe(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
		if s.away {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// leave makes the store refuse everything until restore.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	for c := range s.conns {
		_ = c.Close()
	}
}

// copy returns a copy of the present content.
func (s *store) copy() content {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clone()
}

// restore brings the store back with the content of a copy, in a new era.
func (s *store) restore(c content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content, s.away = c, false
	s.era++
	s.history = slices.DeleteFunc(s.history, func(h committed) bool { return h.version > c.version })
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write performs a transaction of the operator or of a server. Without a row it only
// counts: the entry of a server does not change when nothing but its count of writes
// does. It reports false while the store is away.
func (s *store) write(rows ...row) (version uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, false
	}
	s.commit(rows)
	return s.version, true
}

// writeIfChanged performs the write of an entry, which changes only if it differs. It
// reports false while the store is away.
func (s *store) writeIfChanged(r row) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	if string(s.rows[r.name()].Value) == string(r.Value) {
		s.commit(nil)
	} else {
		s.commit([]row{r})
	}
	return true
}

func (s *store) commit(rows []row) {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		s.rows[r.name()] = r
	}
	now := time.Now()
	s.history = append(s.history, committed{now, s.version})
	s.notify()
}

// oldest returns the oldest version from which changes can be read.
func (s *store) oldest() uint64 {
	i := 0
	for i < len(s.history) && time.Since(s.history[i].at) > historyTime {
		i++
	}
	if i == 0 {
		return 0
	}
	return s.history[i-1].version
}

func (s *store) page() page {
	return page{Rows: []row{}, Version: s.version, ClockMillis: time.Since(s.start).Milliseconds()}
}

// rowsAfter returns the rows of a table that have changed after a version.
func (s *store) rowsAfter(table string, after uint64, removed bool) page {
	p := s.page()
	for _, r := range s.rows {
		if r.Table == table && r.Version > after && (removed || !r.Removed) {
			p.Rows = append(p.Rows, r)
		}
	}
	slices.SortFunc(p.Rows, func(x, y row) int { return strings.Compare(x.Key, y.Key) })
	return p
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reply(w, http.StatusOK, s.rowsAfter(r.URL.Query().Get("table"), 0, false))
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("afterRev"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		changed, done := s.tryFeed(w, q.Get("table"), after, expired)
		if done {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-limit:
			expired = true
		case <-changed:
		}
	}
}

// tryFeed answers a call of the feed if there is something to tell or its time is over.
func (s *store) tryFeed(w http.ResponseWriter, table string, after uint64, expired bool) (<-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after > s.version || after < s.oldest() {
		s.reply(w, http.StatusGone, s.page())
		return nil, true
	}
	p := s.rowsAfter(table, after, true)
	if len(p.Rows) == 0 && !expired {
		return s.changed, false
	}
	s.reply(w, http.StatusOK, p)
	return nil, true
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Conditions []row `json:"expectedRev"`
		Writes     []row `json:"writes"`
		Removals   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Conditions {
		stored := s.rows[c.name()]
		if stored.Removed {
			stored.Version = 0
		}
		if stored.Version != c.Version {
			p := s.page()
			p.Rows = append(p.Rows, stored)
			s.reply(w, http.StatusPreconditionFailed, p)
			return
		}
	}
	for i := range t.Removals {
		t.Removals[i].Removed = true
	}
	s.commit(append(t.Writes, t.Removals...))
	s.reply(w, http.StatusOK, s.page())
}

func (s *store) reply(w http.ResponseWriter, status int, p page) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.WriteHeader(status)
	// The client finds an incomplete response.
	_ = json.NewEncoder(w).Encode(p)
}

// jsonRow returns a row with a value in its JSON form.
func jsonRow(table, key string, value any) row {
	data, err := json.Marshal(value)
	if err != nil {
		// The values of the rig can be encoded.
		panic(err)
	}
	return row{Table: table, Key: key, Value: data}
}
