// Package prefill keeps how long engines usually take to prefill the prompts of
// a route.
package prefill

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxRoutes bounds the routes whose means are kept. The route that was used
	// least recently is forgotten first.
	maxRoutes = 1024
	// newestWeight is the weight of the newest request in the moving average.
	newestWeight = 1.0 / 32
)

// Means holds the mean prefill time of the requests of each route. It is safe for
// concurrent use.
type Means struct {
	mu     sync.Mutex
	routes *simplelru.LRU[string, time.Duration]
}

// New returns means without any request.
func New() *Means {
	routes, err := simplelru.NewLRU[string, time.Duration](maxRoutes, nil)
	if err != nil {
		// The only error is a size that is not positive.
		panic(err)
	}
	return &Means{routes: routes}
}

// Add counts a request of a route with its predicted prefill time and returns the
// mean, which includes the request.
func (m *Means) Add(route string, prefill time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	mean, ok := m.routes.Get(route)
	if !ok {
		mean = prefill
	}
	mean += time.Duration(float64(prefill-mean) * newestWeight)
	m.routes.Add(route, mean)
	return mean
}
