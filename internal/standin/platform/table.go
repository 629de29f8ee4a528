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

type writeBatch struct {
	Writes []write `json:"writes"`
}

type writeResult struct {
	Status int `json:"status"`
	Row    row `json:"row"`
}

// serveTable serves single rows, and the list of rows with a prefix.
func (s *Server) serveTable(c request) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.key == "" {
		if c.method != http.MethodGet {
			return statusResponse(http.StatusMethodNotAllowed)
		}
		return s.listRows(c.query.Get("prefix"))
	}
	old, exists := s.rows[c.key]
	conditions := parsePreconditions(c.header)
	switch c.method {
	case http.MethodGet, http.MethodHead:
		switch {
		case !exists:
			return statusResponse(http.StatusNotFound)
		case conditions.notModified(old.Tag):
			return response{status: http.StatusNotModified, tag: old.Tag}
		}
		return response{status: http.StatusOK, tag: old.Tag, body: old.Value}
	case http.MethodPut, http.MethodDelete:
		if !conditions.allowWrite(exists, old.Tag) {
			return statusResponse(http.StatusPreconditionFailed)
		}
		w := write{Key: c.key, Value: c.body, Delete: c.method == http.MethodDelete}
		if w.Delete && !exists {
			return statusResponse(http.StatusNotFound)
		}
		r := s.apply(w)
		if exists {
			return response{status: http.StatusNoContent, tag: r.Tag}
		}
		return response{status: http.StatusCreated, tag: r.Tag}
	}
	return statusResponse(http.StatusMethodNotAllowed)
}

func (s *Server) listRows(prefix string) response {
	rows := []row{}
	for _, k := range slices.Sorted(maps.Keys(s.rows)) {
		if strings.HasPrefix(k, prefix) {
			rows = append(rows, s.rows[k])
		}
	}
	return jsonResponse(map[string]any{"rows": rows})
}

// serveBatch applies each write whose conditions hold.
func (s *Server) serveBatch(c request) response {
	batch, errorStatus := decodeWrites(c)
	if errorStatus != 0 {
		return statusResponse(errorStatus)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	results := make([]writeResult, len(batch))
	for i, w := range batch {
		results[i].Status = s.checkConditions(w)
		if results[i].Status == http.StatusOK {
			results[i].Row = s.apply(w)
		}
	}
	return jsonResponse(map[string]any{"results": results})
}

// serveTransaction applies all writes, or none if the conditions of one do not
// hold.
func (s *Server) serveTransaction(c request) response {
	batch, errorStatus := decodeWrites(c)
	if errorStatus != 0 {
		return statusResponse(errorStatus)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range batch {
		if code := s.checkConditions(w); code != http.StatusOK {
			return statusResponse(code)
		}
	}
	rows := make([]row, len(batch))
	for i, w := range batch {
		rows[i] = s.apply(w)
	}
	return jsonResponse(map[string]any{"rows": rows})
}

// decodeWrites returns the writes of a batch or transaction, or the status of
// the error.
func decodeWrites(c request) ([]write, int) {
	if c.method != http.MethodPost {
		return nil, http.StatusMethodNotAllowed
	}
	var batch writeBatch
	if err := json.Unmarshal(c.body, &batch); err != nil {
		return nil, http.StatusBadRequest
	}
	for _, w := range batch.Writes {
		if w.Key == "" || w.IfAbsent && w.IfTag != "" {
			return nil, http.StatusBadRequest
		}
	}
	return batch.Writes, 0
}

// checkConditions returns 200 if a write can be applied, and otherwise the status
// of the error. The caller must hold s.mu.
func (s *Server) checkConditions(w write) int {
	old, exists := s.rows[w.Key]
	switch {
	case w.IfAbsent && exists, w.IfTag != "" && (!exists || old.Tag != w.IfTag):
		return http.StatusPreconditionFailed
	case w.Delete && !exists:
		return http.StatusNotFound
	}
	return http.StatusOK
}

// apply carries out a write and returns the row with its new tag. The caller must
// hold s.mu.
func (s *Server) apply(w write) row {
	s.lastTag++
	r := row{Key: w.Key, Value: w.Value, Tag: strconv.FormatUint(s.lastTag, 10)}
	if w.Delete {
		delete(s.rows, w.Key)
		return r
	}
	s.rows[w.Key] = r
	return r
}

// preconditions holds the entity tags of the preconditions of RFC 9110,
// section 13.1.
type preconditions struct {
	ifMatch, ifNoneMatch []string
}

func parsePreconditions(h http.Header) preconditions {
	return preconditions{ifMatch: entityTags(h.Values("If-Match")), ifNoneMatch: entityTags(h.Values("If-None-Match"))}
}

// entityTags returns the members of lists of entity tags. It splits at commas,
// since the tags of this server contain none.
func entityTags(values []string) []string {
	var tags []string
	for _, v := range values {
		for t := range strings.SplitSeq(v, ",") {
			tags = append(tags, strings.TrimSpace(t))
		}
	}
	return tags
}

// allowWrite reports whether the preconditions of a write hold. It compares
// If-Match strongly, as section 13.1.1 requires.
func (c preconditions) allowWrite(exists bool, tag string) bool {
	if c.ifMatch != nil && !(exists && (slices.Contains(c.ifMatch, "*") || slices.Contains(c.ifMatch, `"`+tag+`"`))) {
		return false
	}
	return !(exists && c.inIfNoneMatch(tag))
}

// notModified reports whether a read gets status 304 without a body.
func (c preconditions) notModified(tag string) bool {
	return c.inIfNoneMatch(tag)
}

// inIfNoneMatch reports whether If-None-Match contains the tag. It compares
// weakly, as section 13.1.2 requires.
func (c preconditions) inIfNoneMatch(tag string) bool {
	return slices.Contains(c.ifNoneMatch, "*") || slices.ContainsFunc(c.ifNoneMatch, func(t string) bool {
		return strings.TrimPrefix(t, "W/") == `"`+tag+`"`
	})
}
