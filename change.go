package galenalatch

import "time"

// Change is one accepted change of the catalogue: a delta that turns the
// version before it into Version.
type Change struct {
	Version Version `json:"version" cbor:"version"`
	// ID identifies the change, so that a lost answer can be resolved.
	ID     string    `json:"id" cbor:"id"`
	Author string    `json:"author" cbor:"author"`
	At     time.Time `json:"at" cbor:"at"`

	PutPools         []Pool          `json:"putPools,omitempty" cbor:"putPools,omitempty"`
	RemovePools      []PoolName      `json:"removePools,omitempty" cbor:"removePools,omitempty"`
	PutWorkspaces    []Workspace     `json:"putWorkspaces,omitempty" cbor:"putWorkspaces,omitempty"`
	RemoveWorkspaces []WorkspaceName `json:"removeWorkspaces,omitempty" cbor:"removeWorkspaces,omitempty"`
	PutEntries       []Entry         `json:"putEntries,omitempty" cbor:"putEntries,omitempty"`
	RemoveEntries    []EntryKey      `json:"removeEntries,omitempty" cbor:"removeEntries,omitempty"`
	// PutOut and RemoveOut take data centres out of service and back in.
	PutOut    []DataCentre `json:"putOut,omitempty" cbor:"putOut,omitempty"`
	RemoveOut []DataCentre `json:"removeOut,omitempty" cbor:"removeOut,omitempty"`
	// PutServersOut and RemoveServersOut do the same for backend servers.
	PutServersOut    []ServerID `json:"putServersOut,omitempty" cbor:"putServersOut,omitempty"`
	RemoveServersOut []ServerID `json:"removeServersOut,omitempty" cbor:"removeServersOut,omitempty"`
	// PutRouters and RemoveRouters change the routers whose majority counts.
	// Such a change is committed only when the version before it is accepted.
	PutRouters    []RouterID `json:"putRouters,omitempty" cbor:"putRouters,omitempty"`
	RemoveRouters []RouterID `json:"removeRouters,omitempty" cbor:"removeRouters,omitempty"`
	// DefaultLimits replaces the limits of workspaces without an entry.
	DefaultLimits *Entry `json:"defaultLimits,omitempty" cbor:"defaultLimits,omitempty"`
}

// EntryKey identifies an entry of the catalogue.
type EntryKey struct {
	Workspace WorkspaceName `json:"workspace" cbor:"workspace"`
	Class     Class         `json:"class" cbor:"class"`
}
