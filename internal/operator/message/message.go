// Package message holds the JSON documents of the operators' API that the
// server and the client share.
package message

import "github.com/galenalatch/galenalatch"

// Paths of the operators' API.
const (
	Prefix        = "/operator/v1/"
	CataloguePath = Prefix + "catalogue"
	ChangesPath   = CataloguePath + "/changes"
	DiffPath      = CataloguePath + "/diff"
	StatusPath    = Prefix + "status"
	DataCentres   = Prefix + "datacentres/"
	Servers       = Prefix + "servers/"
)

// Apply asks for a change of the catalogue of version Base.
type Apply struct {
	Base   *galenalatch.Version `json:"base"`
	Change galenalatch.Change   `json:"change"`
}

// Service asks to take a data centre or backend server out of service or
// back in.
type Service struct {
	// ID is the change id. Asking again with the same id is safe.
	ID     string `json:"id"`
	Author string `json:"author"`
	// Force accepts names that are not in the instance list.
	Force bool `json:"force,omitempty"`
}

// States of a stored change.
const (
	Accepted = "accepted"
	Pending  = "pending"
)

// Result says that a change is stored.
type Result struct {
	// State is Accepted when more than half of the listed routers hold the
	// version, otherwise Pending.
	State   string              `json:"state"`
	Version galenalatch.Version `json:"version"`
	ID      string              `json:"id"`
	Held    int                 `json:"held"`
	Total   int                 `json:"total"`
}

// History is a list of accepted changes, the newest first.
type History struct {
	Changes []galenalatch.Change `json:"changes"`
}

// Failure is the answer to a request that failed.
type Failure struct {
	Error struct {
		Kind    galenalatch.Kind    `json:"kind"`
		Outcome galenalatch.Outcome `json:"outcome"`
		Message string              `json:"message"`
		// Current is the current version after a conflict.
		Current galenalatch.Version `json:"current,omitempty"`
	} `json:"error"`
}
