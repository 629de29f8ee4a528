package galenalatch

import (
	"strings"
	"time"
)

// WorkKind is the kind of the requests of a route. It decides whether a request
// may be retried.
type WorkKind string

// The kinds of work.
const (
	// IdempotentWork may run more than once for each request.
	IdempotentWork WorkKind = "idempotent"
	// NonIdempotentWork may run at most once for each request.
	NonIdempotentWork WorkKind = "once"
	// StreamWork is answered with a stream of server-sent events.
	StreamWork WorkKind = "stream"
)

// Target is a service that gets a share of a route's requests.
type Target struct {
	// Service is the name of the service. Weight is its share relative to the
	// route's other targets.
	Service string `cbor:"service"`
	Weight  int    `cbor:"weight"`
}

// HostRoute assigns the requests for a host and a path prefix to one or more
// services.
type HostRoute struct {
	Name string `cbor:"name"`
	Host string `cbor:"host"`
	// Prefix begins and ends with a slash.
	Prefix  string   `cbor:"prefix"`
	Kind    WorkKind `cbor:"kind"`
	Targets []Target `cbor:"targets"`
	// Timeout is the time limit of a request, counted from its arrival; 0 when
	// the route has none of its own.
	Timeout time.Duration `cbor:"timeout"`
	// TargetLatency is the target latency of an answer, or of the first event of a
	// stream; 0 when there is none.
	TargetLatency time.Duration `cbor:"aim"`
	// TargetEventGap is the target for the time between two events of a stream.
	TargetEventGap time.Duration `cbor:"gapAim"`
	// Priority is the rank of the requests; 0 is the highest.
	Priority int `cbor:"priority"`
	// MaxAttempts limits the backend servers that one request may reach.
	MaxAttempts int `cbor:"maxAttempts"`
	// Public is set when requests need no key.
	Public bool `cbor:"public"`
	// Sticky is set when requests name the parts of their prompts.
	Sticky bool `cbor:"sticky"`
	// Resumable is set when a broken stream can be continued on another
	// backend server after its last event.
	Resumable bool `cbor:"resumable"`
}

// Repeatable reports whether a request of the route may be sent again after a
// backend server may have run it.
func (r *HostRoute) Repeatable() bool {
	return r.Kind == IdempotentWork || r.Kind == StreamWork && r.Resumable
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name       string `cbor:"name"`
	HealthPath string `cbor:"healthPath"`
	// MaxConnections is the largest number of connections from all routers to
	// one server.
	MaxConnections int `cbor:"maxConnections"`
	// ColdTime is the time after its start during which a server is cold.
	ColdTime time.Duration `cbor:"coldTime"`
	// ColdRate is the number of requests per second that a cold server can
	// handle.
	ColdRate float64 `cbor:"coldRate"`
	// Engine is set when the servers are model engines.
	Engine bool `cbor:"engine"`
	// CacheTokens is the size of an engine's prompt cache in tokens.
	CacheTokens int `cbor:"cacheTokens"`
}

// CallerLimits limits the requests and connections of callers. Zero values mean
// that there is no limit.
type CallerLimits struct {
	// HeaderBytes and BodyBytes limit the size of a request.
	HeaderBytes int   `cbor:"headerBytes"`
	BodyBytes   int64 `cbor:"bodyBytes"`
	// HeaderTimeout limits the time to read a request's header, IdleTimeout
	// the time between two requests on a connection.
	HeaderTimeout time.Duration `cbor:"headerTimeout"`
	IdleTimeout   time.Duration `cbor:"idleTimeout"`
	// TokenRate is the number of tokens per second that all engines process
	// together; generated tokens count twice.
	TokenRate float64 `cbor:"tokenRate"`
}

// Owner is the workspace to which a key belongs.
type Owner struct {
	Workspace WorkspaceName `cbor:"workspace"`
	// Priority replaces the priority of the route when HasPriority is set.
	Priority    int  `cbor:"priority"`
	HasPriority bool `cbor:"hasPriority"`
}

// Configuration is one version of the operators' configuration of routes,
// services and limits. It is immutable.
type Configuration struct {
	Version  uint64             `cbor:"version"`
	Routes   []HostRoute        `cbor:"routes"`
	Services map[string]Service `cbor:"services"`
	Limits   CallerLimits       `cbor:"limits"`
	// Keys maps the callers' keys to their workspaces. KeysRequired is set when
	// requests need a key, except on public routes.
	Keys         map[string]Owner `cbor:"keys"`
	KeysRequired bool             `cbor:"keyed"`
}

// Match returns the route of the host with the longest prefix of the path, and
// false if there is none.
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
