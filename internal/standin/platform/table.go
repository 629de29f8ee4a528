package platform

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

type row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Tag   string `json:"tag"`
}

type write struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Delete   bool   `json:"delete"`
	IfTag    string `json:"ifTag"`
	IfAbsent bool   `json:"ifAbsent"`
}

type writes struct {
	Writes []write `json:"writes"`
}

type result struct {
	Status int `json:"status"`
	Row    row `json:"row"`
}

// serveTable serves single rows and lists of rows.
func (s *Server) serveTable(c call) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.key == "" {
		if c.method != http.MethodGet {
			return status(http.StatusMethodNotAllowed)
		}
		return s.list(c.query.Get("prefix"))
	}
	old, exists := s.rows[c.key]
	tags := newCondition(c.header)
	switch c.method {
	case http.MethodGet, http.MethodHead:
		switch {
		case !exists:
			return status(http.StatusNotFound)
		case tags.notModified(old.Tag):
			return answer{status: http.StatusNotModified, tag: old.Tag}
		}
		return answer{status: http.StatusOK, tag: old.Tag, body: old.Value}
	case http.MethodPut, http.MethodDelete:
		if !tags.holds(exists, old.Tag) {
			return status(http.StatusPreconditionFailed)
		}
		w := write{Key: c.key, Value: c.body, Delete: c.method == http.MethodDelete}
		if w.Delete && !exists {
			return status(http.StatusNotFound)
		}
		r := s.apply(w)
		if exists {
			return answer{status: http.StatusNoContent, tag: r.Tag}
		}
		return answer{status: http.StatusCreated, tag: r.Tag}
	}
	return status(http.StatusMethodNotAllowed)
}

func (s *Server) list(prefix string) answer {
	list := []row{}
	for _, k := range slices.Sorted(maps.Keys(s.rows)) {
		if strings.HasPrefix(k, prefix) {
			list = append(list, s.rows[k])
		}
	}
	return document(map[string]any{"rows": list})
}

// serveBatch carries out writes independently of each other.
func (s *Server) serveBatch(c call) answer {
	ws, refusal := decodeWrites(c)
	if refusal != 0 {
		return status(refusal)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	results := make([]result, len(ws))
	for i, w := range ws {
		results[i].Status = s.check(w)
		if results[i].Status == http.StatusOK {
			results[i].Row = s.apply(w)
		}
	}
	return document(map[string]any{"results": results})
}

// serveTransaction carries out all writes or none.
func (s *Server) serveTransaction(c call) answer {
	ws, refusal := decodeWrites(c)
	if refusal != 0 {
		return status(refusal)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range ws {
		if code := s.check(w); code != http.StatusOK {
			return status(code)
		}
	}
	done := make([]row, len(ws))
	for i, w := range ws {
		done[i] = s.apply(w)
	}
	return document(map[string]any{"rows": done})
}

func decodeWrites(c call) ([]write, int) {
	if c.method != http.MethodPost {
		return nil, http.StatusMethodNotAllowed
	}
	var ws writes
	if err := json.Unmarshal(c.body, &ws); err != nil {
		return nil, http.StatusBadRequest
	}
	for _, w := range ws.Writes {
		if w.Key == "" || w.IfAbsent && w.IfTag != "" {
			return nil, http.StatusBadRequest
		}
	}
	return ws.Writes, 0
}

// check returns the status that a write has if its conditions do not hold,
// and 200 otherwise.
func (s *Server) check(w write) int {
	old, exists := s.rows[w.Key]
	switch {
	case w.IfAbsent && exists, w.IfTag != "" && (!exists || old.Tag != w.IfTag):
		return http.StatusPreconditionFailed
	case w.Delete && !exists:
		return http.StatusNotFound
	}
	return http.StatusOK
}

func (s *Server) apply(w write) row {
	s.written++
	r := row{Key: w.Key, Value: w.Value, Tag: strconv.FormatUint(s.written, 10)}
	if w.Delete {
		delete(s.rows, w.Key)
		return r
	}
	s.rows[w.Key] = r
	return r
}

// condition holds the conditions of RFC 9110, section 13.1.
type condition struct {
	match, noneMatch []string
}

func newCondition(h http.Header) condition {
	return condition{match: entityTags(h.Values("If-Match")), noneMatch: entityTags(h.Values("If-None-Match"))}
}

// entityTags returns the members of a list of entity tags. Tags of this
// server contain no comma.
func entityTags(values []string) []string {
	var tags []string
	for _, v := range values {
		for t := range strings.SplitSeq(v, ",") {
			tags = append(tags, strings.TrimSpace(t))
		}
	}
	return tags
}

// holds reports whether a write may happen.
func (c condition) holds(exists bool, tag string) bool {
	if c.match != nil && !(exists && (slices.Contains(c.match, "*") || slices.Contains(c.match, `"`+tag+`"`))) {
		return false
	}
	return !(exists && c.matchesNone(tag))
}

// notModified reports whether a read needs no body.
func (c condition) notModified(tag string) bool {
	return c.matchesNone(tag)
}

// matchesNone compares weakly, as section 13.1.2 asks.
func (c condition) matchesNone(tag string) bool {
	return slices.Contains(c.noneMatch, "*") || slices.ContainsFunc(c.noneMatch, func(t string) bool {
		return strings.TrimPrefix(t, "W/") == `"`+tag+`"`
	})
}
