package galenalatch

import "time"

// Change is a change of the catalogue: the difference between Version and the
// version before it. Empty lists change nothing.
type Change struct {
	Version Version `json:"version" cbor:"version"`
	// ID identifies the change, so that an operator who got no response can
	// find out whether it was stored.
	ID     string `json:"id" cbor:"id"`
	Author string `json:"author" cbor:"author"`
	// At is the time at which the change was made.
	At time.Time `json:"at" cbor:"at"`

	PutPools         []Pool          `json:"putPools,omitempty" cbor:"putPools,omitempty"`
	RemovePools      []PoolName      `json:"removePools,omitempty" cbor:"removePools,omitempty"`
	PutWorkspaces    []Workspace     `json:"putWorkspaces,omitempty" cbor:"putWorkspaces,omitempty"`
	RemoveWorkspaces []WorkspaceName `json:"removeWorkspaces,omitempty" cbor:"removeWorkspaces,omitempty"`
	PutEntries       []Entry         `json:"putEntries,omitempty" cbor:"putEntries,omitempty"`
	RemoveEntries    []EntryKey      `json:"removeEntries,omitempty" cbor:"removeEntries,omitempty"`
	// PutOut takes data centres out of service, RemoveOut returns them.
	PutOut    []DataCentre `json:"putOut,omitempty" cbor:"putOut,omitempty"`
	RemoveOut []DataCentre `json:"removeOut,omitempty" cbor:"removeOut,omitempty"`
	// PutServersOut takes backend servers out of service, RemoveServersOut
	// returns them.
	PutServersOut    []ServerID `json:"putServersOut,omitempty" cbor:"putServersOut,omitempty"`
	RemoveServersOut []ServerID `json:"removeServersOut,omitempty" cbor:"removeServersOut,omitempty"`
	// PutRouters and RemoveRouters change Catalogue.Routers. Such a change is
	// committed only when the version before it is accepted.
	PutRouters    []RouterID `json:"putRouters,omitempty" cbor:"putRouters,omitempty"`
	RemoveRouters []RouterID `json:"removeRouters,omitempty" cbor:"removeRouters,omitempty"`
	// DefaultLimits replaces the limits of workspaces without an entry; nil
	// leaves them.
	DefaultLimits *Entry `json:"defaultLimits,omitempty" cbor:"defaultLimits,omitempty"`
}

// EntryKey identifies an entry of the catalogue.
type EntryKey struct {
	Workspace WorkspaceName `json:"workspace" cbor:"workspace"`
	Class     Class         `json:"class" cbor:"class"`
}
