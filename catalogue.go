package galenalatch

import (
	"maps"
	"slices"
	"strings"
)

// PoolKind is the protocol of the backend servers of a pool.
type PoolKind string

// The pool kinds.
const (
	// ModelPool serves the OpenAI chat completions API.
	ModelPool PoolKind = "model"
	// PlainPool serves plain HTTP.
	PlainPool PoolKind = "plain"
)

// Route states, for the calls of a plain service with a method and a path
// prefix, whether they may be sent more than once.
type Route struct {
	Method     string `json:"method" cbor:"method" validate:"required,oneof=GET HEAD PUT POST PATCH DELETE"`
	PathPrefix string `json:"pathPrefix" cbor:"pathPrefix" validate:"required,startswith=/"`
	Repeatable bool   `json:"repeatable" cbor:"repeatable"`
}

// Pool is a set of interchangeable backend servers in all data centres, with
// their limits.
type Pool struct {
	Name PoolName `json:"name" cbor:"name" validate:"required,max=64"`
	Kind PoolKind `json:"kind" cbor:"kind" validate:"required,oneof=model plain"`
	// Models are the names of the models; only in pools of kind ModelPool.
	Models []string `json:"models,omitempty" cbor:"models" validate:"max=64,dive,required,max=128"`
	// Routes state which calls may be repeated; only in pools of kind
	// PlainPool.
	Routes []Route `json:"routes,omitempty" cbor:"routes" validate:"max=256,dive"`
	// ColdLimit is the number of requests that a cold server, which has just
	// started, can run at once.
	ColdLimit int `json:"coldLimit" cbor:"coldLimit" validate:"min=1,max=1000"`
	// WarmLimit is the number of requests that a warm server can run at once.
	WarmLimit int `json:"warmLimit" cbor:"warmLimit" validate:"min=1,max=10000,gtefield=ColdLimit"`
	// CellsPerDataCentre is the number of cells into which the servers of
	// one data centre are divided.
	CellsPerDataCentre int `json:"cellsPerDataCentre" cbor:"cellsPerDataCentre" validate:"min=1,max=64"`
	// PromptWeight and OutputWeight are the service units of one prompt token
	// and of one generated token.
	PromptWeight int64 `json:"promptWeight" cbor:"promptWeight" validate:"min=0,max=1000"`
	OutputWeight int64 `json:"outputWeight" cbor:"outputWeight" validate:"min=0,max=1000"`
	// MaxCost is the largest estimate of one request, in service units.
	MaxCost int64 `json:"maxCost" cbor:"maxCost" validate:"min=1,max=1000000000"`
	// Resumes is set when a broken stream can be resumed with Last-Event-ID.
	Resumes bool `json:"resumes" cbor:"resumes"`
	// ChecksFencing is set when the servers refuse requests with an old epoch.
	ChecksFencing bool `json:"checksFencing" cbor:"checksFencing"`
}

// Repeatable reports whether a call may be sent more than once. This holds for
// all model requests. For a plain service, the route with the method and the
// longest matching prefix decides; without a match, only GET and HEAD calls may
// be repeated.
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

// Entry holds the limits of a workspace for one class of work.
type Entry struct {
	Workspace WorkspaceName `json:"workspace" cbor:"workspace" validate:"required,max=64"`
	Class     Class         `json:"class" cbor:"class" validate:"required,oneof=interactive batch"`
	// Weight is the workspace's share of the capacity relative to others. It
	// applies to the workspace as a whole: the largest weight of its entries
	// counts.
	Weight int64 `json:"weight" cbor:"weight" validate:"min=1,max=1000"`
	// MaxWaiting and MaxWaitingBytes limit the requests, and the bytes of
	// their bodies, that wait in each pool.
	MaxWaiting      int   `json:"maxWaiting" cbor:"maxWaiting" validate:"min=1,max=100000"`
	MaxWaitingBytes int64 `json:"maxWaitingBytes" cbor:"maxWaitingBytes" validate:"min=1024,max=1073741824"`
	// MaxRunning limits the requests that run at once in each pool.
	MaxRunning int `json:"maxRunning" cbor:"maxRunning" validate:"min=1,max=100000"`
}

// Workspace is a customer of the fleet.
type Workspace struct {
	Name WorkspaceName `json:"name" cbor:"name" validate:"required,max=64"`
	// KeyHashes are the SHA-256 sums of the workspace's keys, in lower-case
	// hexadecimal.
	KeyHashes []string `json:"keyHashes" cbor:"keyHashes" validate:"min=1,max=16,dive,len=64,hexadecimal,lowercase"`
}

// Catalogue is one version of the operators' configuration of pools,
// workspaces and limits.
type Catalogue struct {
	Version    Version     `json:"version" cbor:"version"`
	Pools      []Pool      `json:"pools" cbor:"pools" validate:"max=256,unique=Name,dive"`
	Workspaces []Workspace `json:"workspaces" cbor:"workspaces" validate:"max=100000,unique=Name,dive"`
	Entries    []Entry     `json:"entries" cbor:"entries" validate:"max=200000,dive"`
	// OutOfService and ServersOut are the data centres and the backend
	// servers that get no new work.
	OutOfService []DataCentre `json:"outOfService" cbor:"outOfService" validate:"max=64,unique,dive,required"`
	ServersOut   []ServerID   `json:"serversOut" cbor:"serversOut" validate:"max=10000,unique,dive,required"`
	// DefaultLimits are the limits of workspaces without an entry. Workspace
	// and Class are empty.
	DefaultLimits Entry `json:"defaultLimits" cbor:"defaultLimits" validate:"-"`
	// Routers are the routers whose majority decides whether a change of this
	// version is accepted, and PreviousRouters those before the last change
	// of Routers.
	Routers         []RouterID `json:"routers,omitempty" cbor:"routers,omitempty" validate:"max=4096,unique,dive,required"`
	PreviousRouters []RouterID `json:"previousRouters,omitempty" cbor:"previousRouters,omitempty" validate:"max=4096,unique,dive,required"`
}

// WithVersion returns a copy of c with the version v.
func (c Catalogue) WithVersion(v Version) Catalogue {
	c.Version = v
	return c
}

// WithDataCentre returns a copy of c in which the data centre d is out of
// service when out is true, and in service otherwise.
func (c Catalogue) WithDataCentre(d DataCentre, out bool) Catalogue {
	c.OutOfService = withMember(c.OutOfService, d, out)
	return c
}

// WithServer returns a copy of c in which the backend server s is out of
// service when out is true, and in service otherwise.
func (c Catalogue) WithServer(s ServerID, out bool) Catalogue {
	c.ServersOut = withMember(c.ServersOut, s, out)
	return c
}

// withMember returns the sorted set of the elements of list, with v added or
// removed.
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

// InService reports whether the operators allow new work for the backend
// server s in the data centre d.
func (c Catalogue) InService(s ServerID, d DataCentre) bool {
	return !slices.Contains(c.OutOfService, d) && !slices.Contains(c.ServersOut, s)
}

// Pool returns the pool with the given name, and false if there is none.
func (c Catalogue) Pool(name PoolName) (Pool, bool) {
	i := slices.IndexFunc(c.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return Pool{}, false
	}
	return c.Pools[i], true
}
