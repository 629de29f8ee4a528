package platform

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalatch/galenalatch"
)

// serveObject serves the object store.
func (s *Server) serveObject(c call) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.key == "" {
		return status(http.StatusNotFound)
	}
	switch c.method {
	case http.MethodGet, http.MethodHead:
		value, ok := s.objects[c.key]
		if !ok {
			return status(http.StatusNotFound)
		}
		return answer{status: http.StatusOK, body: value}
	case http.MethodPut:
		s.objects[c.key] = c.body
		return answer{status: http.StatusNoContent}
	}
	return status(http.StatusMethodNotAllowed)
}

// SetInstance adds an instance to the list or replaces it.
func (s *Server) SetInstance(i galenalatch.Instance) error {
	data, err := json.Marshal(i)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[i.ID] = data
	return nil
}

// RemoveInstance removes an instance from the list.
func (s *Server) RemoveInstance(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.instances, id)
}

// instanceList returns the list sorted by id. The caller holds the lock.
func (s *Server) instanceList() []json.RawMessage {
	list := []json.RawMessage{}
	for _, id := range slices.Sorted(maps.Keys(s.instances)) {
		list = append(list, s.instances[id])
	}
	return list
}

// serveInstances serves the instance list, and the changes to it by tests and
// the demo.
func (s *Server) serveInstances(c call) answer {
	switch {
	case c.key == "" && c.method == http.MethodGet:
		s.mu.Lock()
		defer s.mu.Unlock()
		list := s.frozen
		if !s.faults.FreezeInstances {
			list = s.instanceList()
		}
		a := document(map[string]any{"instances": list})
		a.tag = strconv.FormatUint(xxhash.Sum64(a.body), 36)
		if newCondition(c.header).notModified(a.tag) {
			return answer{status: http.StatusNotModified, tag: a.tag}
		}
		return a
	case c.key != "" && c.method == http.MethodPut:
		var i galenalatch.Instance
		if json.Unmarshal(c.body, &i) != nil || i.ID != "" && i.ID != c.key {
			return status(http.StatusBadRequest)
		}
		i.ID = c.key
		if s.SetInstance(i) != nil {
			return status(http.StatusInternalServerError)
		}
		return answer{status: http.StatusNoContent}
	case c.key != "" && c.method == http.MethodDelete:
		s.RemoveInstance(c.key)
		return answer{status: http.StatusNoContent}
	}
	return status(http.StatusMethodNotAllowed)
}
