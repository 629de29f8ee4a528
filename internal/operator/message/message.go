// Package message holds the JSON documents of the operators' API that the
// server and the client share.
package message

import "github.com/galenalatch/galenalatch"

// Paths of the operators' API. DataCentresPath and ServersPath are prefixes:
// they are followed by a name and "/out" or "/in".
const (
	Prefix          = "/operator/v1/"
	CataloguePath   = Prefix + "catalogue"
	ChangesPath     = CataloguePath + "/changes"
	DiffPath        = CataloguePath + "/diff"
	StatusPath      = Prefix + "status"
	DataCentresPath = Prefix + "datacentres/"
	ServersPath     = Prefix + "servers/"
)

// ApplyRequest is the request for a change that is based on version Base of the
// catalogue. It is also the response to a request for a difference.
type ApplyRequest struct {
	Base   *galenalatch.Version `json:"base"`
	Change galenalatch.Change   `json:"change"`
}

// ServiceRequest is the request to take a data centre or backend server out of
// service or back in.
type ServiceRequest struct {
	// ID is the id of the change. A repeated request with the same id is safe.
	// If it is empty, the router chooses one.
	ID     string `json:"id"`
	Author string `json:"author"`
	// Force accepts names that are not in the instance list.
	Force bool `json:"force,omitempty"`
}

// States of a stored change.
const (
	// Accepted: more than half of the listed routers hold the version.
	Accepted = "accepted"
	// Pending: at most half of them hold it.
	Pending = "pending"
)

// ApplyResult is the response to a change that is stored.
type ApplyResult struct {
	// State is Accepted or Pending.
	State   string              `json:"state"`
	Version galenalatch.Version `json:"version"`
	// ID is the id of the change.
	ID string `json:"id"`
	// Holders is the number of the Total listed routers that hold the version.
	Holders int `json:"held"`
	Total   int `json:"total"`
}

// History is a list of stored changes, newest first.
type History struct {
	Changes []galenalatch.Change `json:"changes"`
}

// ErrorResponse is the response to a request that failed.
type ErrorResponse struct {
	Error struct {
		Kind    galenalatch.Kind    `json:"kind"`
		Outcome galenalatch.Outcome `json:"outcome"`
		Message string              `json:"message"`
		// Current is the current version after a conflict, otherwise 0.
		Current galenalatch.Version `json:"current,omitempty"`
	} `json:"error"`
}
