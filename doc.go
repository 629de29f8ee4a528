// Package galenalatch holds the values that all parts of the router fleet
// share, and the interfaces whose implementations vary.
//
// Values are immutable. A changed copy comes from a With method.
// Implementations of the interfaces are below internal.
package galenalatch
