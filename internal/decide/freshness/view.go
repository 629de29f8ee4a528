// Package freshness decides whether a router's catalogue is fresh enough to
// send new work, and when a change of the catalogue counts as accepted.
//
// # Rule
//
// Let W be Window and S be Settle, S >= W. Times are of the router's own
// monotonic clock; clocks are assumed to run at the same rate during S. A
// time learned from a peer is the time before the question was sent less the
// age in the answer, so it is never later than the true time.
//
// Each version v of the catalogue has a list of routers L(v), stored in the
// catalogue, and the list before its last change P(v). A version that changes
// the list is committed only when the version before it is accepted.
//
//   - A router is qualified when, since its process started, the head of the
//     table was read by it or by a peer and it holds that version; or when it
//     holds at least the versions of a majority of L(held), itself not
//     counted, heard of later than S after its start.
//     Until then it announces version 0, and nobody counts it.
//   - A router is fresh when it is qualified and, less than W ago, either the
//     head was read and was at most the held version, or a majority of L(held)
//     was heard of, each with at most the held version.
//   - Version n is accepted at time T when a qualified router A holds h >= n
//     and knows that majorities of both L(h) and P(h) hold at least n, each
//     by an answer to a question that A itself sent less than S ago.
//
// # Claim
//
// If n was accepted at T, then no router that holds v < n is fresh at or
// after T+W.
//
// # Argument
//
// Table: a read that was sent at t and shows at most v proves that n was
// committed after t. It was committed before T, so t < T, and the router is
// not fresh through this read at T+W. A read by a peer, or one that shows a
// version older than v, proves the same.
//
// Qualified routers: let q be a router that A counted. The process of q that
// answered held n at some time after T-S. If it restarted later, at r, then
// r+S > T. A read after r shows at least n, since n was committed before r.
// Qualifying by a majority takes news later than r+S, so later than T.
// Suppose that some process qualifies this way after T holding u < n, and
// take the first. All routers that it heard of were qualified later than T,
// with versions of at most u. They are a majority of L(u) without the process
// itself. By the next paragraph, a majority of L(u) had answered that it
// holds a version above u. The two majorities share a router, and this router
// still holds more than u: its process did not restart, or qualified by a
// read, or by a majority earlier than the first. This is a contradiction.
//
// Lists: let the list change at versions c1 < c2 < ..., and let v < n. If h
// and v are in the same section, L(v) = L(h), and a majority of it holds n.
// If v is one section before h, L(v) = P(h), and again a majority holds n.
// If v is in an earlier section, the change of the list that began h's
// section was committed when some version m of the section before was
// accepted, at T' <= T. Then v < m, and the claim for m, by induction over
// the sections, covers v.
//
// Majority: a router with v < n that is fresh at T+W or later through a
// majority heard of routers of L(v) at times later than T, each with at most
// v. A majority of L(v) held more than v at T, and all of its qualified
// processes still do. The majorities share a router: a contradiction.
//
// # Limits
//
// The first list of the catalogue is committed without the condition. Until
// then the instance list is used.
//
// Without lists in the catalogue the claim holds only while all routers use
// the same instance list, or lists that differ by one router: majorities of
// other lists need not share a router.
package freshness

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalatch/galenalatch"
)

const (
	// DefaultWindow is the time for which a proof of freshness counts. With
	// the gossip interval it keeps P4's target of 3 s.
	DefaultWindow = 2 * time.Second
	// DefaultSettle leaves a router of 400 the time to ask a majority.
	DefaultSettle = 10 * time.Second
	// heardAfter is the age of the confirmation from which a router asks for
	// the routers that its peers heard from.
	heardAfter = time.Second
	// readsPerSecond is the fleet's share of the table's reads.
	readsPerSecond = 40
	// maxReadInterval holds while the catalogue is not confirmed by others.
	maxReadInterval = time.Second
)

// Reason says why a catalogue is fresh or not.
type Reason string

// The reasons.
const (
	// Table means that the head of the table was read within the window.
	Table Reason = "table"
	// Majority means that a majority of the routers was heard of.
	Majority Reason = "majority"
	// Starting means that the router does not know yet which versions were
	// accepted before it started.
	Starting Reason = "starting"
	// Stale means that neither proof is recent enough.
	Stale Reason = "stale"
)

// Lists are the routers whose majorities count at a version.
type Lists struct {
	Current  []galenalatch.RouterID
	Previous []galenalatch.RouterID
}

// Options configure a View.
type Options struct {
	Self galenalatch.RouterID
	// Started is when the process started, or later.
	Started time.Time
	// Stamp is where the stamps of questions begin. It differs between
	// starts, so that an answer to an earlier process is not mistaken.
	Stamp int64
	// Window and Settle are W and S; see the package comment.
	Window time.Duration
	Settle time.Duration
}

// evidence is what is known about a version that was current somewhere: at
// usable or later it was at most the held version, and at pending or later
// at most bound.
type evidence struct {
	usable  time.Time
	pending time.Time
	bound   galenalatch.Version
}

func (e *evidence) add(at time.Time, version, held galenalatch.Version) {
	switch {
	case version <= held:
		e.usable = later(e.usable, at)
	case at.After(e.pending):
		e.pending, e.bound = at, version
	}
}

func (e *evidence) hold(held galenalatch.Version) {
	if e.bound <= held {
		e.usable = later(e.usable, e.pending)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// answer is the newest direct answer of a router.
type answer struct {
	asked   time.Time
	version galenalatch.Version
}

type question struct {
	to galenalatch.RouterID
	at time.Time
}

// View is what one router knows about versions, confirmations and other
// routers. It reads no clock and must not be used concurrently.
type View struct {
	Options
	held      galenalatch.Version
	newest    galenalatch.Version
	qualified bool
	listed    Lists
	lists     Lists
	positions []galenalatch.RouterID
	listSum   uint64
	confirmed evidence
	heard     map[galenalatch.RouterID]*evidence
	answers   map[galenalatch.RouterID]answer
	asked     map[int64]question
	watched   galenalatch.Version
	watchEnd  time.Time
	proposed  proposal
	cells     holders
	near      neighbours
}

// New returns the view of a router that just started.
func New(o Options) *View {
	o.Window = cmp.Or(o.Window, DefaultWindow)
	o.Settle = max(cmp.Or(o.Settle, DefaultSettle), o.Window)
	return &View{
		Options: o,
		heard:   make(map[galenalatch.RouterID]*evidence),
		answers: make(map[galenalatch.RouterID]answer),
		asked:   make(map[int64]question),
		cells:   newHolders(o.Started),
	}
}

// SetListed replaces the routers of the instance list.
func (v *View) SetListed(routers []galenalatch.RouterID) {
	l := slices.Compact(slices.Sorted(slices.Values(routers)))
	if slices.Equal(l, v.listed.Current) {
		return
	}
	v.listed = Lists{Current: l, Previous: v.listed.Current}
	v.setPositions()
}

// Hold records that the router applied a version with its lists. Older
// versions than the held one are ignored.
func (v *View) Hold(version galenalatch.Version, l Lists) {
	if version < v.held {
		return
	}
	v.held = version
	v.newest = max(v.newest, version)
	v.lists = Lists{
		Current:  slices.Compact(slices.Sorted(slices.Values(l.Current))),
		Previous: slices.Compact(slices.Sorted(slices.Values(l.Previous))),
	}
	v.setPositions()
	v.confirmed.hold(version)
	for _, e := range v.heard {
		e.hold(version)
	}
	v.qualify()
}

func (v *View) setPositions() {
	v.positions = v.quorum().Current
	d := xxhash.New()
	for _, r := range v.positions {
		// A digest never returns an error.
		_, _ = d.WriteString(string(r))
		_, _ = d.Write([]byte{0})
	}
	v.listSum = d.Sum64()
}

// quorum returns the lists whose majorities count.
func (v *View) quorum() Lists {
	if len(v.lists.Current) > 0 {
		return v.lists
	}
	return v.listed
}

// Read records a read of the head of the table that was sent at the given
// time and showed version.
func (v *View) Read(sent time.Time, version galenalatch.Version) {
	v.newest = max(v.newest, version)
	v.confirmed.add(sent, version, v.held)
	v.qualify()
}

// Held returns the version that the router holds.
func (v *View) Held() galenalatch.Version { return v.held }

// Newest returns the newest version that the router knows of.
func (v *View) Newest() galenalatch.Version { return v.newest }

// Behind reports whether a newer version than the held one is known.
func (v *View) Behind() bool { return v.newest > v.held }

// qualify ends the time in which the router does not know what was accepted
// before it started.
func (v *View) qualify() {
	if v.qualified {
		return
	}
	settled := v.Started.Add(v.Settle)
	v.qualified = v.confirmed.usable.After(v.Started) ||
		v.majorityHeard(v.quorum().Current, settled, false)
}

// majorityHeard reports whether a majority of the list was heard of later
// than since, each with at most the held version.
func (v *View) majorityHeard(list []galenalatch.RouterID, since time.Time, self bool) bool {
	n := 0
	for _, r := range list {
		e := v.heard[r]
		if self && r == v.Self || e != nil && e.usable.After(since) {
			n++
		}
	}
	return 2*n > len(list)
}

// Fresh reports whether the router may send new work, and why.
func (v *View) Fresh(now time.Time) (bool, Reason) {
	since := now.Add(-v.Window)
	switch {
	case !v.qualified:
		return false, Starting
	case v.confirmed.usable.After(since):
		return true, Table
	case v.majorityHeard(v.quorum().Current, since, true):
		return true, Majority
	}
	return false, Stale
}

// Accepted returns how many of the listed routers are known to hold the
// version, of the list in which the fewest do. The version is accepted when
// they are more than half.
func (v *View) Accepted(now time.Time, version galenalatch.Version) (held, total int) {
	q := v.quorum()
	held, total = v.count(now, version, q.Current)
	if len(q.Previous) > 0 {
		if h, t := v.count(now, version, q.Previous); h*total < held*t {
			held, total = h, t
		}
	}
	return held, total
}

// MayChangeLists reports whether a change of the held version may change the
// lists: the held version is accepted, or the catalogue has no lists yet.
func (v *View) MayChangeLists(now time.Time) bool {
	held, total := v.Accepted(now, v.held)
	return len(v.lists.Current) == 0 || 2*held > total
}

func (v *View) count(now time.Time, version galenalatch.Version, list []galenalatch.RouterID) (held, total int) {
	if !v.qualified || v.held < version {
		return 0, len(list)
	}
	for _, r := range list {
		if r == v.Self || v.holds(now, r, version) {
			held++
		}
	}
	return held, len(list)
}

func (v *View) holds(now time.Time, r galenalatch.RouterID, version galenalatch.Version) bool {
	a, ok := v.answers[r]
	return ok && a.version >= version && now.Sub(a.asked) < v.Settle
}

// ReadInterval returns the time between two reads of the head, so that the
// fleet makes 40 reads a second. A router whose catalogue is not confirmed
// reads at least once a second.
func (v *View) ReadInterval(now time.Time) time.Duration {
	d := time.Duration(max(1, len(v.listed.Current))) * time.Second / readsPerSecond
	if d > maxReadInterval && now.Sub(v.confirmed.usable) > heardAfter {
		return maxReadInterval
	}
	return d
}
