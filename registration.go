package galenalatch

import (
	"context"
	"errors"
	"math"
	"time"
)

// Registration is what a backend server has published about itself.
type Registration struct {
	ID         ServerID   `cbor:"id"`
	Service    string     `cbor:"service"`
	Address    string     `cbor:"address"`
	DataCentre DataCentre `cbor:"dataCentre"`
	Slots      int        `cbor:"slots"`
	// Leaving servers finish their requests and get no new ones.
	Leaving bool `cbor:"leaving"`
	// ColdFor is how long the server stays cold, counted from the time of
	// the entry.
	ColdFor time.Duration `cbor:"coldFor"`
	// Started identifies one start of the server: Unix time in milliseconds,
	// or 0 when it is not published.
	Started int64 `cbor:"started"`
}

// Position is the place in the store's history that an update shows.
type Position struct {
	// Version counts the transactions of the store.
	Version uint64
	// Clock is the store's steady clock when it made the answer.
	Clock time.Duration
	// Relayed answers were passed on by another router. The store may have
	// made them before they were asked for.
	Relayed bool
}

// OperatorUpdate is what operators published.
type OperatorUpdate struct {
	Position
	// Complete updates hold everything that is published; others hold what
	// has changed.
	Complete bool
	// Configuration is nil when it is not part of the update.
	Configuration *Configuration
	// Out and In are the data centres that were taken out of service and
	// returned.
	Out []DataCentre
	In  []DataCentre
	// Invalid are the keys of rows that cannot be used, with reasons.
	Invalid []error
}

// ServerUpdate is what backend servers published.
type ServerUpdate struct {
	Position
	Complete bool
	Present  []Registration
	// Gone are the servers whose entries were removed or cannot be used.
	Gone    []ServerID
	Invalid []error
}

// StoreRow is a row of one of the system's own tables.
type StoreRow struct {
	Key   string `cbor:"key"`
	Value []byte `cbor:"value"`
	// Version changes with every write; 0 stands for a row that does not
	// exist.
	Version uint64 `cbor:"version"`
	Deleted bool   `cbor:"deleted"`
}

// RowUpdate is what has changed in one of the system's own tables.
type RowUpdate struct {
	Position
	Complete bool
	Rows     []StoreRow
}

// ErrHistoryGone is returned for changes after a version whose history the
// store has dropped. The caller reads everything again.
var ErrHistoryGone = errors.New("the store has dropped this part of its history")

// ErrWriteConflict is returned when the condition of a write does not hold.
var ErrWriteConflict = errors.New("the row has another version")

// Everything asks for all rows of a table instead of the changes after a
// version.
const Everything uint64 = math.MaxUint64

// Store is the platform's store: what operators and backend servers publish,
// and the system's own tables. Reads after Everything return at once; others
// return as soon as there is a change after this version, and without one
// after wait.
type Store interface {
	Operators(ctx context.Context, after uint64, wait time.Duration) (OperatorUpdate, error)
	Servers(ctx context.Context, after uint64, wait time.Duration) (ServerUpdate, error)
	Rows(ctx context.Context, table string, after uint64, wait time.Duration) (RowUpdate, error)
	// Write writes the row if it has the version row.Version, or removes it
	// if row.Deleted is set. Errors other than ErrWriteConflict leave open
	// whether the write happens.
	Write(ctx context.Context, table string, row StoreRow) error
}
