package galenalatch

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
)

// RouterID names a router instance, as in the instance list. A restarted
// router keeps it.
type RouterID string

// ServerID names a backend server instance.
type ServerID string

// RequestID names one request over its whole life, on every router.
type RequestID string

// NewRequestID returns a random id. It has 96 random bits in 16 characters,
// since it is in most messages between routers: at 2,400 requests a second
// for ten years, the probability that any two ids of ten minutes are the same
// is below 1e-10.
func NewRequestID() RequestID {
	var b [12]byte
	// The reader of crypto/rand never fails.
	_, _ = rand.Read(b[:])
	return RequestID(base64.RawURLEncoding.EncodeToString(b[:]))
}

// DataCentre names a data centre.
type DataCentre string

// PoolName names a pool of backend servers that serve the same work.
type PoolName string

// WorkspaceName names a workspace.
type WorkspaceName string

// BootID identifies one start of a backend server process.
type BootID string

// Epoch counts the holders of a cell's lease. A larger epoch is newer.
type Epoch uint64

// Version counts the accepted changes of the catalogue.
type Version uint64

// CellID names a cell: one share of a pool's backend servers in one data
// centre.
type CellID struct {
	Pool       PoolName   `json:"pool" cbor:"pool"`
	DataCentre DataCentre `json:"dataCentre" cbor:"dataCentre"`
	Index      int        `json:"index" cbor:"index"`
}

// String returns the cell's name as it appears in logs and table keys.
func (c CellID) String() string {
	return fmt.Sprintf("%s/%s/%d", c.Pool, c.DataCentre, c.Index)
}

// Class is the class of work of a request.
type Class string

// The classes of work.
const (
	// Interactive is work that a person waits for.
	Interactive Class = "interactive"
	// Batch is long work that may wait behind interactive work.
	Batch Class = "batch"
)

// Valid reports whether c is one of the classes.
func (c Class) Valid() bool {
	return c == Interactive || c == Batch
}
