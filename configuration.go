package galenalatch

import (
	"strings"
	"time"
)

// WorkKind says what the calls of a route allow.
type WorkKind string

// The kinds of work.
const (
	// IdempotentWork may run more than once.
	IdempotentWork WorkKind = "idempotent"
	// OnceWork may run at most once for each request.
	OnceWork WorkKind = "once"
	// StreamWork answers with a stream of events.
	StreamWork WorkKind = "stream"
)

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string `cbor:"service"`
	Weight  int    `cbor:"weight"`
}

// HostRoute sends the requests for a host and a path prefix to a service.
type HostRoute struct {
	Name string `cbor:"name"`
	Host string `cbor:"host"`
	// Prefix begins and ends with a slash.
	Prefix  string   `cbor:"prefix"`
	Kind    WorkKind `cbor:"kind"`
	Targets []Target `cbor:"targets"`
	// Timeout is the longest time that a request may be held.
	Timeout time.Duration `cbor:"timeout"`
	// Aim is the time within which an answer, or the first event of a
	// stream, has its full value.
	Aim time.Duration `cbor:"aim"`
	// GapAim is the longest pause between events of a stream in time.
	GapAim time.Duration `cbor:"gapAim"`
	// Priority is the rank of the requests; 0 is the highest.
	Priority int `cbor:"priority"`
	// MaxAttempts bounds the backend servers that one request may reach.
	MaxAttempts int `cbor:"maxAttempts"`
	// Public routes need no key.
	Public bool `cbor:"public"`
	// Sticky requests name the parts of their prompts.
	Sticky bool `cbor:"sticky"`
	// Resumable streams go on at another backend server after an event.
	Resumable bool `cbor:"resumable"`
}

// Repeatable reports whether a request of the route may run again after a
// backend server may have run it.
func (r *HostRoute) Repeatable() bool {
	return r.Kind == IdempotentWork || r.Kind == StreamWork && r.Resumable
}

// Service is a pool of backend servers that serve the same work.
type Service struct {
	Name       string `cbor:"name"`
	HealthPath string `cbor:"healthPath"`
	// MaxConnections bounds the connections of one server from all routers.
	MaxConnections int `cbor:"maxConnections"`
	// ColdTime is how long a server is cold after its start.
	ColdTime time.Duration `cbor:"coldTime"`
	// ColdRate is the number of requests a second that a cold server bears.
	ColdRate float64 `cbor:"coldRate"`
	// Engine says that the servers are model engines.
	Engine bool `cbor:"engine"`
	// CacheTokens is the memory of one engine for prompts, in tokens.
	CacheTokens int `cbor:"cacheTokens"`
}

// CallerLimits bound what callers send. Zero means no limit.
type CallerLimits struct {
	HeaderBytes   int           `cbor:"headerBytes"`
	BodyBytes     int64         `cbor:"bodyBytes"`
	HeaderTimeout time.Duration `cbor:"headerTimeout"`
	IdleTimeout   time.Duration `cbor:"idleTimeout"`
	// TokenRate is the number of tokens a second that all engines process
	// together; generated tokens count twice.
	TokenRate float64 `cbor:"tokenRate"`
}

// Owner is the workspace of a key.
type Owner struct {
	Workspace WorkspaceName `cbor:"workspace"`
	// Priority replaces the route's rank when HasPriority is set.
	Priority    int  `cbor:"priority"`
	HasPriority bool `cbor:"hasPriority"`
}

// Configuration is one version of what operators configured. It is not
// changed after it was made.
type Configuration struct {
	Version  uint64             `cbor:"version"`
	Routes   []HostRoute        `cbor:"routes"`
	Services map[string]Service `cbor:"services"`
	Limits   CallerLimits       `cbor:"limits"`
	// Keys maps the callers' keys to workspaces. Keyed says that requests of
	// routes that are not public need one.
	Keys  map[string]Owner `cbor:"keys"`
	Keyed bool             `cbor:"keyed"`
}

// Match returns the route of the host with the longest prefix of the path.
func (c *Configuration) Match(host, path string) (*HostRoute, bool) {
	var best *HostRoute
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}
