// Package galenalatch holds the types that all parts of the router fleet share,
// and the interfaces that have several implementations. The implementations
// are in the packages below internal and in package platform.
//
// Values are immutable: methods whose names begin with With return a changed
// copy.
//
// # Terms
//
// The backend servers of a pool are divided into cells, each within one data
// centre. The router that holds the lease of a cell, its holder, is the cell's
// dispatcher: it decides which waiting request runs next and on which server.
// The router that accepted a request from its caller is the request's entry
// router: it queues the request in the request's home cell, receives a grant
// from the dispatcher, and then sends the request to the server that the grant
// names.
//
// A dispatcher may lend a slot, which is capacity for one request on a server,
// to another cell of the pool. Costs and estimates are in service units, which
// are weighted tokens for model pools and milliseconds for plain pools.
//
// The routers of internal/process/gateway have no cells: each of them selects
// servers by itself, by a Configuration and the Registrations in the platform's
// store.
package galenalatch
