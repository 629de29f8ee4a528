package galenalatch

import (
	"context"
	"errors"
	"time"
)

// Registration is the entry that a backend server publishes about itself in the
// store.
type Registration struct {
	ID      ServerID `cbor:"id"`
	Service string   `cbor:"service"`
	// Address is the IP address and port of the server.
	Address    string     `cbor:"address"`
	DataCentre DataCentre `cbor:"dataCentre"`
	// Version is the version of the server's software; empty when the entry has none.
	Version string `cbor:"version,omitempty"`
	// Slots is the number of requests that the server runs at once.
	Slots int `cbor:"slots"`
	// Leaving is set when the server finishes its requests and takes no new
	// ones.
	Leaving bool `cbor:"leaving"`
	// ColdFor is the time for which the server stays cold, counted from the
	// time at which the entry is received.
	ColdFor time.Duration `cbor:"coldFor"`
	// Started identifies one start of the server: Unix time in milliseconds,
	// or 0 when the entry has none.
	Started int64 `cbor:"started"`
}

// OperatorUpdate is the content of the operators' table or a change of it.
type OperatorUpdate struct {
	Stamp
	// Complete is set when the update holds the whole table, and not only
	// what has changed.
	Complete bool
	// Configuration is nil when it is not part of the update.
	Configuration *Configuration
	// OutOfService are the data centres that were taken out of service,
	// BackInService those that were returned.
	OutOfService  []DataCentre
	BackInService []DataCentre
	// Rollouts are the orders, or those that have changed.
	Rollouts []RolloutOrder
	// Invalid has an error for each row that cannot be decoded.
	Invalid []error
}

// ServerUpdate is the content of the backend servers' table or a change of it.
type ServerUpdate struct {
	Stamp
	// Complete is set when the update holds the whole table, and not only
	// what has changed.
	Complete   bool
	Registered []Registration
	// Removed are the servers whose entries were removed or cannot be decoded.
	Removed []ServerID
	// EraAge is for how long the router has known that the store is in the era of the
	// update; 0 if the update is the first to tell.
	EraAge time.Duration
	// Invalid has an error for each row that cannot be decoded.
	Invalid []error
}

// StoreRow is a row of one of the system's own tables.
type StoreRow struct {
	Key   string `cbor:"key"`
	Value []byte `cbor:"value"`
	// Version changes with every write; 0 stands for a row that does not
	// exist.
	Version uint64 `cbor:"version"`
	// Deleted is set when the row was or is to be removed.
	Deleted bool `cbor:"deleted"`
}

// RowUpdate is the content of one of the system's own tables or a change of it.
type RowUpdate struct {
	Stamp
	// Complete is set when the update holds the whole table, and not only
	// what has changed.
	Complete bool
	Rows     []StoreRow
}

// ErrWriteConflict is returned by Store.Write when the row has another version
// than the one that the write requires.
var ErrWriteConflict = errors.New("the row has another version")

// Store is the platform's store. It holds the tables that operators and backend
// servers write, and the system's own tables.
//
// A read with after set to ReadAll returns at once. Other reads return when
// there is a change after this position, or without a change when wait is over.
// Their error is ErrHistoryGone when the store does not have these changes. An
// answer may be of a later era than after; see Stamp.CheckRead.
type Store interface {
	// Operators reads the operators' table.
	Operators(ctx context.Context, after Position, wait time.Duration) (OperatorUpdate, error)
	// Servers reads the backend servers' table.
	Servers(ctx context.Context, after Position, wait time.Duration) (ServerUpdate, error)
	// Rows reads one of the system's own tables.
	Rows(ctx context.Context, table string, after Position, wait time.Duration) (RowUpdate, error)
	// Write writes the row, or removes it if row.Deleted is set, provided that
	// its stored version is row.Version. After an error other than
	// ErrWriteConflict the write may have happened or may still happen.
	Write(ctx context.Context, table string, row StoreRow) error
}
