package placement

import (
	"time"

	"github.com/galenalatch/galenalatch"
)

// Versions restricts a choice to servers of some versions. The zero value allows all.
type Versions struct {
	// Target, if set, is the only version that is allowed. Servers, if not nil, are the
	// only servers of it.
	Target  string
	Servers map[galenalatch.ServerID]bool
	// Empty is set while the servers of the target are new. Only parts that this router
	// has sent them count as kept.
	Empty bool
	// Avoid are versions that are not allowed.
	Avoid map[string]bool
	// Pinned is set for a stream that goes on, or begins, at the version Pin only.
	Pinned bool
	Pin    string
}

func (v Versions) allow(s *server) bool {
	if v.Pinned && s.Version != v.Pin {
		return false
	}
	if v.Target != "" {
		return s.Version == v.Target && (v.Servers == nil || v.Servers[s.ID])
	}
	return len(v.Avoid) == 0 || !v.Avoid[s.Version]
}

// VersionUse describes the servers of one version of a service.
type VersionUse struct {
	// Servers are the servers that may take requests, now or soon.
	Servers []galenalatch.ServerID
	// Warm is the number of them that are not cold.
	Warm int
	// Running is the number of this router's requests at servers of the version.
	Running int
}

// VersionUses returns the versions of the listed servers of a service.
func (t *Table) VersionUses(now time.Time, service string) map[string]VersionUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	uses := make(map[string]VersionUse)
	for _, s := range t.services[service] {
		u := uses[s.Version]
		u.Running += s.running
		if !t.reason(now, s).final() {
			u.Servers = append(u.Servers, s.ID)
			if !s.cold(now) {
				u.Warm++
			}
		}
		uses[s.Version] = u
	}
	return uses
}
