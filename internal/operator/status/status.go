// Package status describes the state of one router for operators and for the
// metrics.
package status

import "github.com/galenalatch/galenalatch"

// Status is the state of a router at one moment. It covers this router only:
// the state of the fleet needs the status of all routers.
type Status struct {
	Router galenalatch.RouterID `json:"router"`
	// Start identifies the start of the router's process.
	Start      string                 `json:"start"`
	DataCentre galenalatch.DataCentre `json:"dataCentre"`
	// Version is the version of the router's catalogue.
	Version galenalatch.Version `json:"version"`
	// Fresh reports whether the catalogue is known to be current.
	Fresh    bool `json:"fresh"`
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
	// HeldVersions is the catalogue version that each listed router is known to
	// hold.
	HeldVersions map[galenalatch.RouterID]galenalatch.Version `json:"held"`
	Cells        []Cell                                       `json:"cells"`
	// Servers are the backend servers of the cells that this router holds.
	Servers []Server `json:"servers"`
	// Waiting counts by workspace the requests that entered the fleet at this
	// router and have no grant yet; Running counts those with a grant.
	Waiting map[galenalatch.WorkspaceName]int `json:"waiting"`
	Running map[galenalatch.WorkspaceName]int `json:"running"`
	// PeerBytesIn and PeerBytesOut count the bytes of control messages on
	// the connections to other routers since the start.
	PeerBytesIn  uint64 `json:"peerBytesIn"`
	PeerBytesOut uint64 `json:"peerBytesOut"`
}

// Cell is a cell that the router holds.
type Cell struct {
	Cell  galenalatch.CellID `json:"cell"`
	Epoch galenalatch.Epoch  `json:"epoch"`
	// Lapsed reports that the lease could not be renewed in time.
	Lapsed  bool `json:"lapsed"`
	Waiting int  `json:"waiting"`
	Running int  `json:"running"`
	// Ready counts the waiting requests that could start if slots were free,
	// LentSlots the slots that other cells use.
	Ready     int `json:"ready"`
	LentSlots int `json:"lent"`
	// Granting reports whether the cell may grant: its lease is valid and the
	// routers have sent their reports.
	Granting bool `json:"granting"`
}

// Server is the dispatcher's view of a backend server.
type Server struct {
	Server     galenalatch.ServerID   `json:"server"`
	Pool       galenalatch.PoolName   `json:"pool"`
	DataCentre galenalatch.DataCentre `json:"dataCentre"`
	// State is cold, warming, warm, suspect, leaving or out.
	State   string `json:"state"`
	Limit   int    `json:"limit"`
	Running int    `json:"running"`
	// Untracked counts the running requests that the server reported in
	// addition to those that the dispatcher granted.
	Untracked int `json:"foreign"`
}
