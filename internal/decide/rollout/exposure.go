package rollout

const (
	// canaryPart is the part of the allowed share that routers send to an unproved
	// version at most, and usualPart what they send while no route lacks answers. The
	// rest is kept for the time from a step to the evidence on it.
	canaryPart = 0.6
	usualPart  = 0.45
	// fixedPart is the part of the fixed number of requests that routers use for an
	// unproved version.
	fixedPart = 0.5
	// lackingFactor multiplies the usual part on routes that lack answers, and
	// otherFactor that on all others meanwhile.
	lackingFactor = 8
	otherFactor   = 0.5
)

// Bounds limit the requests to an unproved version, over all routers and from the order
// to its deadline: Share of all requests to the service, plus Slack.
type Bounds struct {
	Share float64
	Slack float64
}

// Enabled reports whether there are bounds.
func (b Bounds) Enabled() bool { return b.Share > 0 }

// CanaryShare returns the share of requests that go to an unproved version while no route
// lacks answers.
func (b Bounds) CanaryShare() float64 { return usualPart * b.Share }

// Fixed returns the requests that a router may send to an unproved version regardless of
// how many it gets. Rank is its place among the routers, by which the fixed number is
// divided: the sum over all ranks is no larger.
func (b Bounds) Fixed(rank int) float64 {
	total := fixedPart * b.Slack
	if rank < 0 || total < 1 {
		return 0
	}
	// The sum of this over the ranks is at most total.
	return max(1-float64(rank+1)/(2*total), 0)
}

// Exposure counts the requests of one router to a service since an order.
type Exposure struct {
	// Requests were sent to the service, Exposed of them to the new version.
	Requests uint32
	Exposed  uint32
	// Reserved requests have a server of the new version and are not sent yet.
	Reserved uint32
	routes   map[uint32]*routeExposure
}

// routeExposure counts the requests on one route, and those to the new version.
type routeExposure struct {
	requests float64
	exposed  float64
}

// NewExposure returns an exposure without requests.
func NewExposure() *Exposure {
	return &Exposure{routes: make(map[uint32]*routeExposure)}
}

// Count counts a request that is about to be sent.
func (e *Exposure) Count(exposed bool) {
	e.Requests++
	if exposed {
		e.Exposed++
	}
}

// Allow reports whether the router may send one more request to a version that no answers
// have proved: the share of its own requests, and its part of the fixed number. The sum
// over any routers stays within the bounds, whatever they know of each other.
func (e *Exposure) Allow(b Bounds, rank int) bool {
	limit := canaryPart*b.Share*float64(e.Requests) + b.Fixed(rank)
	return float64(e.Exposed+e.Reserved)+1 <= limit
}

// Need tells whether routes lack answers of the new version.
type Need int

// The needs of a route.
const (
	// Even means that no route lacks answers.
	Even Need = iota
	// Lacking means that this route lacks answers.
	Lacking
	// Others means that only other routes do.
	Others
	// None means that no route lacks answers, and that more of them would leave no
	// room for the steps to come.
	None
)

// Wanted reports whether the next request on a route should go to the new version, and
// counts it.
func (e *Exposure) Wanted(b Bounds, route uint32, n Need) bool {
	r, ok := e.routes[route]
	if !ok {
		r = &routeExposure{}
		e.routes[route] = r
	}
	r.requests++
	if n == None {
		return false
	}
	// A router may have gained a part of the fixed number on any route.
	return r.exposed < b.wantedShare(n)*r.requests+1
}

// wantedShare returns the share of the requests of a route that go to the new version.
func (b Bounds) wantedShare(n Need) float64 {
	share := usualPart * b.Share
	switch n {
	case Lacking:
		share *= lackingFactor
	case Others:
		share *= otherFactor
	case None:
		return 0
	}
	return min(share, 1)
}

// Take reserves a request to the new version on a route.
func (e *Exposure) Take(route uint32) {
	e.Reserved++
	if r, ok := e.routes[route]; ok {
		r.exposed++
	}
}

// Return ends the reservation of a request, which was sent or not.
func (e *Exposure) Return(route uint32, sent bool) {
	e.Reserved--
	if r, ok := e.routes[route]; ok && !sent {
		r.exposed--
	}
}
