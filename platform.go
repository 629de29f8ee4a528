package galenalatch

import "context"

// Row is a row of the table service.
type Row struct {
	Key   string
	Value []byte
	// Tag changes with every write of the row.
	Tag string
}

// Write is a write of one row, which may depend on a condition. At most one of
// IfTag and IfAbsent may be set; without them the write is unconditional.
type Write struct {
	Key   string
	Value []byte
	// Delete removes the row.
	Delete bool
	// IfTag makes the write depend on the row having this tag.
	IfTag string
	// IfAbsent makes the write depend on the row not existing.
	IfAbsent bool
}

// WriteResult is the result of one write of a batch.
type WriteResult struct {
	// Row is the row as written.
	Row Row
	Err error
}

// Table is the platform's transactional table service.
//
// Errors are of KindNotFound, KindConflict (a condition did not hold),
// KindPlatformDown (the call had no effect) or KindWriteUnknown (a write may
// have taken effect, which a read can show).
type Table interface {
	// Get returns one row.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose keys start with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Put performs one write and returns the row as written.
	Put(ctx context.Context, w Write) (Row, error)
	// Batch performs the writes independently of each other and returns their
	// results in the same order.
	Batch(ctx context.Context, writes []Write) ([]WriteResult, error)
	// Transaction performs all writes or none, and returns the rows as
	// written in the same order.
	Transaction(ctx context.Context, writes []Write) ([]Row, error)
}

// ObjectStore is the platform's object store. Its errors have the kinds listed
// at Table.
type ObjectStore interface {
	Get(ctx context.Context, key string) ([]byte, error)
	Put(ctx context.Context, key string, value []byte) error
}

// Role is the function of an instance.
type Role string

// The roles of instances.
const (
	RouterRole Role = "router"
	ServerRole Role = "server"
)

// Instance is an element of the platform's instance list.
type Instance struct {
	// ID is the RouterID or ServerID of the instance.
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Address is host:port of the instance.
	Address    string     `json:"address"`
	DataCentre DataCentre `json:"dataCentre"`
	// Pool is the pool of a backend server, and empty for a router.
	Pool PoolName `json:"pool,omitempty"`
	// Leaving is set when the platform will stop the instance soon.
	Leaving bool `json:"leaving"`
}

// InstanceList is the platform's list of instances. The list may be out of date:
// it may lack new instances and contain stopped ones.
type InstanceList interface {
	// List returns the running instances and those that will stop soon.
	List(ctx context.Context) ([]Instance, error)
}
