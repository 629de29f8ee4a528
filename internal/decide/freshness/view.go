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
//     Until then it announces version 0, and no router counts it.
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
// Qualifying by a majority takes evidence later than r+S, so later than T.
// Suppose that some process qualifies this way after T holding u < n, and
// take the first. All routers that it heard of were qualified later than T,
// with versions of at most u. They are a majority of L(u) without the process
// itself. By the next paragraph, a majority of L(u) had answered that it
// holds a version above u. The two majorities share a router, and this router
// still holds more than u: its process did not restart, or qualified by a
// read, or by a majority earlier than the first. This is a contradiction.
//
// Lists: let the list change at versions c1 < c2 < ..., which divide the
// versions into sections, and let v < n. If h and v are in the same section,
// L(v) = L(h), and a majority of it holds n. If v is one section before h,
// L(v) = P(h), and again a majority holds n. If v is in an earlier section,
// the change of the list that began h's section was committed when some
// version m of the section before was accepted, at T' <= T. Then v < m, and
// the claim for m, by induction over the sections, covers v.
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
	// DefaultWindow is how long a proof of freshness counts. Together with
	// the gossip interval it meets the target that no router sends new work
	// with a version older than an accepted one for more than 3 s.
	DefaultWindow = 2 * time.Second
	// DefaultSettle is long enough for a router to ask a majority of 400
	// routers.
	DefaultSettle = 10 * time.Second
	// maxConfirmationAge is the age of the last confirmed read of the head
	// from which a router asks its peers for the routers that they heard of,
	// and reads the head at least every maxReadInterval.
	maxConfirmationAge = time.Second
	// readsPerSecond is the number of reads of the head that all routers
	// together may make.
	readsPerSecond = 40
	// maxReadInterval applies while neither this router nor a peer has
	// confirmed the catalogue for maxConfirmationAge.
	maxReadInterval = time.Second
)

// Reason states which proof makes a catalogue fresh, or why it is not fresh.
type Reason string

// The reasons that Fresh returns.
const (
	// Table means that the head of the table was read within the window.
	Table Reason = "table"
	// Majority means that a majority of the routers was heard of within the
	// window.
	Majority Reason = "majority"
	// Starting means that the router has no proof yet that it holds all
	// versions that were accepted before it started.
	Starting Reason = "starting"
	// Stale means that neither proof is recent enough.
	Stale Reason = "stale"
)

// Lists are the sorted lists of routers whose majorities count at a version:
// the current list and the one before its last change. Previous is empty if
// there was none.
type Lists struct {
	Current  []galenalatch.RouterID
	Previous []galenalatch.RouterID
}

// Options configure a View. Zero values of Window and Settle stand for
// DefaultWindow and DefaultSettle.
type Options struct {
	Self galenalatch.RouterID
	// Started is when the process started, or later.
	Started time.Time
	// LastStamp is the start of the stamps of questions, each of which is one
	// higher than the one before. It must differ between starts, so that an
	// answer to an earlier process is not taken for an answer to this one.
	LastStamp int64
	// Window and Settle are W and S of the package comment. Settle is raised
	// to Window if it is smaller.
	Window time.Duration
	Settle time.Duration
}

// evidence is what is known about the version of a router or of the head: at
// the time usable or later it was at most the held version, and at pending
// or later at most pendingVersion.
type evidence struct {
	usable         time.Time
	pending        time.Time
	pendingVersion galenalatch.Version
}

func (e *evidence) add(at time.Time, version, held galenalatch.Version) {
	switch {
	case version <= held:
		e.usable = later(e.usable, at)
	case at.After(e.pending):
		e.pending, e.pendingVersion = at, version
	}
}

func (e *evidence) hold(held galenalatch.Version) {
	if e.pendingVersion <= held {
		e.usable = later(e.usable, e.pending)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// answer is the latest direct answer of a router.
type answer struct {
	askedAt time.Time
	version galenalatch.Version
}

type question struct {
	peer   galenalatch.RouterID
	sentAt time.Time
}

// View holds the versions, confirmations and holders that one router has read
// or received. It reads no clock and must not be used concurrently.
type View struct {
	Options
	held           galenalatch.Version
	newest         galenalatch.Version
	qualified      bool
	instanceLists  Lists
	catalogueLists Lists
	positions      []galenalatch.RouterID
	listSum        uint64
	confirmed      evidence
	heard          map[galenalatch.RouterID]*evidence
	directAnswers  map[galenalatch.RouterID]answer
	openQuestions  map[int64]question
	awaitedVersion galenalatch.Version
	awaitEnd       time.Time
	proposed       proposal
	holders        holderTable
	neighbours     neighbours
}

// New returns the view of a router that has just started.
func New(o Options) *View {
	o.Window = cmp.Or(o.Window, DefaultWindow)
	o.Settle = max(cmp.Or(o.Settle, DefaultSettle), o.Window)
	return &View{
		Options:       o,
		heard:         make(map[galenalatch.RouterID]*evidence),
		directAnswers: make(map[galenalatch.RouterID]answer),
		openQuestions: make(map[int64]question),
		holders:       newHolderTable(o.Started),
	}
}

// SetInstances replaces the routers of the instance list.
func (v *View) SetInstances(routers []galenalatch.RouterID) {
	l := slices.Compact(slices.Sorted(slices.Values(routers)))
	if slices.Equal(l, v.instanceLists.Current) {
		return
	}
	v.instanceLists = Lists{Current: l, Previous: v.instanceLists.Current}
	v.setPositions()
}

// SetHeld records that the router applied a version with its lists. A version
// older than the held one is ignored.
func (v *View) SetHeld(version galenalatch.Version, l Lists) {
	if version < v.held {
		return
	}
	v.held = version
	v.newest = max(v.newest, version)
	v.catalogueLists = Lists{
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

// quorum returns the lists whose majorities count: those of the catalogue,
// or of the instance list while the catalogue has none.
func (v *View) quorum() Lists {
	if len(v.catalogueLists.Current) > 0 {
		return v.catalogueLists
	}
	return v.instanceLists
}

// RecordRead records a read of the head of the table that was sent at the given
// time and returned version.
func (v *View) RecordRead(sent time.Time, version galenalatch.Version) {
	v.newest = max(v.newest, version)
	v.confirmed.add(sent, version, v.held)
	v.qualify()
}

// Held returns the version that the router holds.
func (v *View) Held() galenalatch.Version { return v.held }

// Newest returns the highest version that the router has held, read or
// received from a peer.
func (v *View) Newest() galenalatch.Version { return v.newest }

// Behind reports whether a newer version than the held one is known.
func (v *View) Behind() bool { return v.newest > v.held }

// qualify sets qualified once it is proved that the router holds all versions
// that were accepted before it started.
func (v *View) qualify() {
	if v.qualified {
		return
	}
	settled := v.Started.Add(v.Settle)
	v.qualified = v.confirmed.usable.After(v.Started) ||
		v.majorityHeard(v.quorum().Current, settled, false)
}

// majorityHeard reports whether a majority of the list was heard of later
// than since, each with at most the held version. If self is set, this
// router itself counts as heard of.
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

// Fresh reports whether the router may send new work at the time now, and
// the reason.
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

// Accepted returns how many of the listed routers are known to hold at least
// the version, and how many are listed, for the list with the lower share.
// The version is accepted if they are more than half.
func (v *View) Accepted(now time.Time, version galenalatch.Version) (held, total int) {
	q := v.quorum()
	held, total = v.countHolding(now, version, q.Current)
	if len(q.Previous) > 0 {
		if h, t := v.countHolding(now, version, q.Previous); h*total < held*t {
			held, total = h, t
		}
	}
	return held, total
}

// MayChangeLists reports whether a change of the held version may change the
// lists: the held version is accepted, or the catalogue has no lists yet.
func (v *View) MayChangeLists(now time.Time) bool {
	held, total := v.Accepted(now, v.held)
	return len(v.catalogueLists.Current) == 0 || 2*held > total
}

func (v *View) countHolding(now time.Time, version galenalatch.Version, list []galenalatch.RouterID) (held, total int) {
	if !v.qualified || v.held < version {
		return 0, len(list)
	}
	for _, r := range list {
		if r == v.Self || v.knownToHold(now, r, version) {
			held++
		}
	}
	return held, len(list)
}

func (v *View) knownToHold(now time.Time, r galenalatch.RouterID, version galenalatch.Version) bool {
	a, ok := v.directAnswers[r]
	return ok && a.version >= version && now.Sub(a.askedAt) < v.Settle
}

// ReadInterval returns the time between two reads of the head, so that all
// routers together make 40 reads a second. A router whose catalogue was not
// confirmed for a second reads at least once a second.
func (v *View) ReadInterval(now time.Time) time.Duration {
	d := time.Duration(max(1, len(v.instanceLists.Current))) * time.Second / readsPerSecond
	if d > maxReadInterval && now.Sub(v.confirmed.usable) > maxConfirmationAge {
		return maxReadInterval
	}
	return d
}
