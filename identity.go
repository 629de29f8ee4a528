package galenalatch

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// RouterID identifies a router instance. It is the name in the instance list,
// and stays the same after a restart.
type RouterID string

// ServerID identifies a backend server instance.
type ServerID string

// ProcessKey returns a hash that identifies the process of the server with the given
// Registration.Started in messages between routers. A server may start again under its
// id.
func (id ServerID) ProcessKey(started int64) uint32 {
	return uint32(xxhash.Sum64String(string(id) + "\x00" + strconv.FormatInt(started, 10)))
}

// RequestID identifies a request on all routers and backend servers, over all
// attempts.
type RequestID string

// NewRequestID returns a random id of 16 characters, which are safe in headers
// and URLs. It has only 96 random bits, because most messages between routers
// carry an id. At 2,400 requests per second for ten years, the probability that
// any two ids within ten minutes are equal is below 1e-10.
func NewRequestID() RequestID {
	var b [12]byte
	// rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return RequestID(base64.RawURLEncoding.EncodeToString(b[:]))
}

// DataCentre is the name of a data centre.
type DataCentre string

// PoolName is the name of a Pool.
type PoolName string

// WorkspaceName is the name of a Workspace. It is empty for a request that
// needs no key.
type WorkspaceName string

// BootID identifies one start of a backend server process. It changes when the
// server restarts.
type BootID string

// Epoch numbers the holders of a cell's lease, from 1. A larger epoch is newer;
// 0 means that there is none.
type Epoch uint64

// Version is the number of changes of the catalogue so far. A larger version is
// newer.
type Version uint64

// CellID identifies a cell: a part of the backend servers of a pool in one data
// centre.
type CellID struct {
	Pool       PoolName   `json:"pool" cbor:"pool"`
	DataCentre DataCentre `json:"dataCentre" cbor:"dataCentre"`
	// Index numbers the cells of the pool in the data centre from 0.
	Index int `json:"index" cbor:"index"`
}

// String returns the id as POOL/DATACENTRE/INDEX, its form in logs and table
// keys.
func (c CellID) String() string {
	return fmt.Sprintf("%s/%s/%d", c.Pool, c.DataCentre, c.Index)
}

// Class is the scheduling class of a request.
type Class string

// The scheduling classes.
const (
	// Interactive is the class of requests whose response a person waits for.
	Interactive Class = "interactive"
	// Batch is the class of long requests that may wait for interactive ones.
	Batch Class = "batch"
)

// Valid reports whether c is one of the classes.
func (c Class) Valid() bool {
	return c == Interactive || c == Batch
}
