package galenalatch

import (
	"maps"
	"slices"
	"strings"
)

// PoolKind says which protocol the backend servers of a pool speak.
type PoolKind string

// The kinds of pools.
const (
	// ModelPool serves the OpenAI chat completions API.
	ModelPool PoolKind = "model"
	// PlainPool serves plain HTTP.
	PlainPool PoolKind = "plain"
)

// Route says whether calls of a plain service may be repeated.
type Route struct {
	Method     string `json:"method" cbor:"method" validate:"required,oneof=GET HEAD PUT POST PATCH DELETE"`
	PathPrefix string `json:"pathPrefix" cbor:"pathPrefix" validate:"required,startswith=/"`
	Repeatable bool   `json:"repeatable" cbor:"repeatable"`
}

// Pool is a set of backend servers that serve the same work, in all data
// centres.
type Pool struct {
	Name   PoolName `json:"name" cbor:"name" validate:"required,max=64"`
	Kind   PoolKind `json:"kind" cbor:"kind" validate:"required,oneof=model plain"`
	Models []string `json:"models,omitempty" cbor:"models" validate:"max=64,dive,required,max=128"`
	Routes []Route  `json:"routes,omitempty" cbor:"routes" validate:"max=256,dive"`
	// ColdLimit is the number of requests that a cold server can bear.
	ColdLimit int `json:"coldLimit" cbor:"coldLimit" validate:"min=1,max=1000"`
	// WarmLimit is the number of requests that a warm server runs at once.
	WarmLimit int `json:"warmLimit" cbor:"warmLimit" validate:"min=1,max=10000,gtefield=ColdLimit"`
	// CellsPerDataCentre is the number of cells into which the servers of
	// one data centre are divided.
	CellsPerDataCentre int `json:"cellsPerDataCentre" cbor:"cellsPerDataCentre" validate:"min=1,max=64"`
	// PromptWeight and OutputWeight are the service units of one token.
	PromptWeight int64 `json:"promptWeight" cbor:"promptWeight" validate:"min=0,max=1000"`
	OutputWeight int64 `json:"outputWeight" cbor:"outputWeight" validate:"min=0,max=1000"`
	// MaxCost bounds the estimate of one request, in service units.
	MaxCost int64 `json:"maxCost" cbor:"maxCost" validate:"min=1,max=1000000000"`
	// Resumes says that a broken stream can be resumed by Last-Event-ID.
	Resumes bool `json:"resumes" cbor:"resumes"`
	// ChecksFencing says that servers refuse orders with an old epoch.
	ChecksFencing bool `json:"checksFencing" cbor:"checksFencing"`
}

// Repeatable reports whether a call may be sent again. A model request may.
// A call of a plain service may when the route with the longest matching
// prefix says so; without a route only GET and HEAD may.
func (p Pool) Repeatable(method, path string) bool {
	if p.Kind == ModelPool {
		return true
	}
	best := -1
	repeatable := method == "GET" || method == "HEAD"
	for _, r := range p.Routes {
		if r.Method == method && len(r.PathPrefix) > best && strings.HasPrefix(path, r.PathPrefix) {
			best = len(r.PathPrefix)
			repeatable = r.Repeatable
		}
	}
	return repeatable
}

// Entry gives a workspace's limits for one class of work. Weight applies to
// the workspace as a whole: the largest weight of its entries counts.
type Entry struct {
	Workspace WorkspaceName `json:"workspace" cbor:"workspace" validate:"required,max=64"`
	Class     Class         `json:"class" cbor:"class" validate:"required,oneof=interactive batch"`
	Weight    int64         `json:"weight" cbor:"weight" validate:"min=1,max=1000"`
	// MaxWaiting and MaxWaitingBytes bound the queue in each pool.
	MaxWaiting      int   `json:"maxWaiting" cbor:"maxWaiting" validate:"min=1,max=100000"`
	MaxWaitingBytes int64 `json:"maxWaitingBytes" cbor:"maxWaitingBytes" validate:"min=1024,max=1073741824"`
	// MaxRunning bounds the requests that run at once in each pool.
	MaxRunning int `json:"maxRunning" cbor:"maxRunning" validate:"min=1,max=100000"`
}

// Workspace is one customer of the fleet.
type Workspace struct {
	Name WorkspaceName `json:"name" cbor:"name" validate:"required,max=64"`
	// KeyHashes are SHA-256 sums of the workspace's keys in hexadecimal.
	KeyHashes []string `json:"keyHashes" cbor:"keyHashes" validate:"min=1,max=16,dive,len=64,hexadecimal,lowercase"`
}

// Catalogue is one version of the operators' configuration.
type Catalogue struct {
	Version       Version      `json:"version" cbor:"version"`
	Pools         []Pool       `json:"pools" cbor:"pools" validate:"max=256,unique=Name,dive"`
	Workspaces    []Workspace  `json:"workspaces" cbor:"workspaces" validate:"max=100000,unique=Name,dive"`
	Entries       []Entry      `json:"entries" cbor:"entries" validate:"max=200000,dive"`
	OutOfService  []DataCentre `json:"outOfService" cbor:"outOfService" validate:"max=64,unique,dive,required"`
	ServersOut    []ServerID   `json:"serversOut" cbor:"serversOut" validate:"max=10000,unique,dive,required"`
	DefaultLimits Entry        `json:"defaultLimits" cbor:"defaultLimits" validate:"-"`
	// Routers are the routers whose majority counts at this version, and
	// PreviousRouters those before the last change of Routers.
	Routers         []RouterID `json:"routers,omitempty" cbor:"routers,omitempty" validate:"max=4096,unique,dive,required"`
	PreviousRouters []RouterID `json:"previousRouters,omitempty" cbor:"previousRouters,omitempty" validate:"max=4096,unique,dive,required"`
}

// WithVersion returns a copy with the version v.
func (c Catalogue) WithVersion(v Version) Catalogue {
	c.Version = v
	return c
}

// WithDataCentre returns a copy in which the data centre d is out of service
// when out is true, and in service otherwise.
func (c Catalogue) WithDataCentre(d DataCentre, out bool) Catalogue {
	c.OutOfService = withMember(c.OutOfService, d, out)
	return c
}

// WithServer returns a copy in which the backend server s is out of service
// when out is true, and in service otherwise.
func (c Catalogue) WithServer(s ServerID, out bool) Catalogue {
	c.ServersOut = withMember(c.ServersOut, s, out)
	return c
}

func withMember[T ~string](list []T, v T, member bool) []T {
	set := make(map[T]bool, len(list)+1)
	for _, x := range list {
		set[x] = true
	}
	delete(set, v)
	if member {
		set[v] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// InService reports whether new work may be sent to the server s in the
// data centre d.
func (c Catalogue) InService(s ServerID, d DataCentre) bool {
	return !slices.Contains(c.OutOfService, d) && !slices.Contains(c.ServersOut, s)
}

// Pool returns the pool with the given name.
func (c Catalogue) Pool(name PoolName) (Pool, bool) {
	i := slices.IndexFunc(c.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return Pool{}, false
	}
	return c.Pools[i], true
}
