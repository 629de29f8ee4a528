package galenalatch

import "context"

// Row is one row of the table service.
type Row struct {
	Key   string
	Value []byte
	// Tag changes with every write of the row.
	Tag string
}

// Write is one conditional write. At most one of IfTag and IfAbsent is set.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
	// IfTag lets the write happen only when the row has this tag.
	IfTag string
	// IfAbsent lets the write happen only when there is no row.
	IfAbsent bool
}

// WriteResult is the result of one write of a batch.
type WriteResult struct {
	Row Row
	Err error
}

// Table is the platform's transactional table service.
//
// Errors are of KindNotFound, KindConflict (a condition did not hold),
// KindPlatformDown (the call certainly had no effect) or KindUnclear (a
// write may have taken effect; read it back).
type Table interface {
	// Get returns one row.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose keys start with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Put carries out one write.
	Put(ctx context.Context, w Write) (Row, error)
	// Batch carries out writes independently of each other.
	Batch(ctx context.Context, writes []Write) ([]WriteResult, error)
	// Transaction carries out all writes or none.
	Transaction(ctx context.Context, writes []Write) ([]Row, error)
}

// ObjectStore is the platform's object store. Errors are as for Table.
type ObjectStore interface {
	Get(ctx context.Context, key string) ([]byte, error)
	Put(ctx context.Context, key string, value []byte) error
}

// Role is what an instance does.
type Role string

// The roles of instances.
const (
	RouterRole Role = "router"
	ServerRole Role = "server"
)

// Instance is one line of the platform's instance list.
type Instance struct {
	ID         string     `json:"id"`
	Role       Role       `json:"role"`
	Address    string     `json:"address"`
	DataCentre DataCentre `json:"dataCentre"`
	// Pool is set for backend servers.
	Pool PoolName `json:"pool,omitempty"`
	// Leaving is set when the platform will stop the instance soon.
	Leaving bool `json:"leaving"`
}

// InstanceList is the platform's list of live and leaving instances. It lags.
type InstanceList interface {
	List(ctx context.Context) ([]Instance, error)
}
