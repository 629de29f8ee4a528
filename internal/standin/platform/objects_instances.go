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
func (s *Server) serveObject(c request) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.key == "" {
		return statusResponse(http.StatusNotFound)
	}
	switch c.method {
	case http.MethodGet, http.MethodHead:
		value, ok := s.objects[c.key]
		if !ok {
			return statusResponse(http.StatusNotFound)
		}
		return response{status: http.StatusOK, body: value}
	case http.MethodPut:
		s.objects[c.key] = c.body
		return response{status: http.StatusNoContent}
	}
	return statusResponse(http.StatusMethodNotAllowed)
}

// SetInstance adds an instance to the list, or replaces the one with the same ID.
// It returns an error only if the instance cannot be encoded.
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

// RemoveInstance removes an instance from the list. It does nothing if the
// instance is not in the list.
func (s *Server) RemoveInstance(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.instances, id)
}

// instanceList returns the list sorted by ID. The caller must hold s.mu.
func (s *Server) instanceList() []json.RawMessage {
	list := []json.RawMessage{}
	for _, id := range slices.Sorted(maps.Keys(s.instances)) {
		list = append(list, s.instances[id])
	}
	return list
}

// serveInstances serves the instance list, and changes to it by tests and the
// demo.
func (s *Server) serveInstances(c request) response {
	switch {
	case c.key == "" && c.method == http.MethodGet:
		s.mu.Lock()
		defer s.mu.Unlock()
		list := s.frozenInstances
		if !s.faults.FreezeInstances {
			list = s.instanceList()
		}
		a := jsonResponse(map[string]any{"instances": list})
		a.tag = strconv.FormatUint(xxhash.Sum64(a.body), 36)
		if parsePreconditions(c.header).notModified(a.tag) {
			return response{status: http.StatusNotModified, tag: a.tag}
		}
		return a
	case c.key != "" && c.method == http.MethodPut:
		var i galenalatch.Instance
		if json.Unmarshal(c.body, &i) != nil || i.ID != "" && i.ID != c.key {
			return statusResponse(http.StatusBadRequest)
		}
		i.ID = c.key
		if s.SetInstance(i) != nil {
			return statusResponse(http.StatusInternalServerError)
		}
		return response{status: http.StatusNoContent}
	case c.key != "" && c.method == http.MethodDelete:
		s.RemoveInstance(c.key)
		return response{status: http.StatusNoContent}
	}
	return statusResponse(http.StatusMethodNotAllowed)
}
