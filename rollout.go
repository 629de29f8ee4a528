package galenalatch

import "time"

// RolloutOrder asks that the traffic of a service move to the servers of a version.
type RolloutOrder struct {
	Service string `cbor:"service"`
	Target  string `cbor:"target"`
	// Duration is the time from the order to its deadline.
	Duration time.Duration `cbor:"duration"`
	// Version is the version of the order's row; it identifies the order.
	Version uint64 `cbor:"version"`
	// Removed is set when the order was removed. Only Service and Version are set then.
	Removed bool `cbor:"removed,omitempty"`
}

// RolloutState is the state of an order.
type RolloutState string

// The states of an order. Done and RolledBack are final.
const (
	RolloutRunning    RolloutState = "running"
	RolloutDone       RolloutState = "done"
	RolloutRolledBack RolloutState = "rolledBack"
)

// Final reports whether the state never changes again for its order.
func (s RolloutState) Final() bool { return s == RolloutDone || s == RolloutRolledBack }

// RolloutStatus is the progress of an order, which the routers keep in the store.
type RolloutStatus struct {
	Service string
	State   RolloutState
	Target  string
	// Order is the version of the order's row.
	Order uint64
	// Step is the step that a running order has reached.
	Step int
	// Deadline is the end of the order by the store's clock.
	Deadline time.Duration
	// Why is the evidence for the last change.
	Why string
	// Version is the version of the status row; 0 when there is none.
	Version uint64
}

// RolloutRows translates the rows that hold the status of orders.
type RolloutRows interface {
	// Table is the table with these rows.
	Table() string
	// Decode returns the status in a row. It reports false for other rows of the
	// table. With an error, only Service and Version are set.
	Decode(r StoreRow) (RolloutStatus, bool, error)
	// Encode returns the row of a status, with the version that it replaces.
	Encode(s RolloutStatus) (StoreRow, error)
}

// RouteAnswers counts the answers of one version on one route. The slices are
// histograms whose last zeros are left out.
type RouteAnswers struct {
	_ struct{} `cbor:",toarray"`
	// Route is a hash of the route's name. New is set for the target version.
	Route uint32
	New   bool
	Good  uint32
	Bad   uint32
	First []uint32
	Pace  []uint32
}

// RolloutReport is what one router, or several, know of an order. Counts are since the
// beginning of Step, but for Requests and Exposed.
type RolloutReport struct {
	_ struct{} `cbor:",toarray"`
	// Order is a hash of the service and the order.
	Order uint32
	Step  uint8
	// Routers is the number of routers in the sum, Settled the number of those that
	// have left the old version.
	Routers uint16
	Settled uint16
	// Requests were sent to the service since the order, Exposed of them to the
	// target version.
	Requests uint32
	Exposed  uint32
	Answers  []RouteAnswers
}
