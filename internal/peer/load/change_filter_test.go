package load

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/share"
	"github.com/galenalatch/galenalatch/internal/fleet/topology"
)

// Guards against sending the same message at each interval, and against changes
// that are not sent at once.
func TestChangeFilter(t *testing.T) {
	server := func(running uint16) galenalatch.RouterLoad {
		return galenalatch.RouterLoad{Servers: []galenalatch.ServerLoad{{Server: 1, Running: running}}}
	}
	workspace := func(requested uint32) galenalatch.RouterLoad {
		return galenalatch.RouterLoad{Workspaces: []galenalatch.WorkspaceUsage{{Workspace: 1, Requested: requested}}}
	}
	others := func(u galenalatch.RouterLoad) galenalatch.RouterLoad {
		u.Others = &galenalatch.OtherUsage{Count: 1, Requested: 2}
		return u
	}
	tests := []struct {
		name   string
		before galenalatch.RouterLoad
		pause  time.Duration
		now    galenalatch.RouterLoad
		due    bool
	}{
		{"nothing has changed", server(1), resendInterval - 1, server(1), false},
		{"resend interval has passed", server(1), resendInterval, server(1), true},
		{"a server has changed", server(1), time.Millisecond, server(2), true},
		{"a workspace has changed", workspace(1), time.Millisecond, workspace(2), true},
		{"other workspaces have changed", workspace(1), time.Millisecond, others(workspace(1)), true},
		{"the last request has ended", server(1), time.Millisecond, galenalatch.RouterLoad{}, true},
		{"idle", galenalatch.RouterLoad{}, resendInterval, galenalatch.RouterLoad{}, false},
		{"idle resend interval has passed", galenalatch.RouterLoad{}, idleResendInterval, galenalatch.RouterLoad{}, true},
		{"first request", galenalatch.RouterLoad{}, time.Millisecond, workspace(1), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := changeFilter{last: tt.before, at: time.Unix(1000, 0)}
			assert.Equal(t, o.shouldSend(o.at.Add(tt.pause), tt.now), tt.due)
		})
	}
}

// Guards against a relay that applies the sum of the other relay of its data
// centre instead of its own one, and against other routers that apply none.
func TestRelayIgnoresSumOfOtherRelay(t *testing.T) {
	var list []galenalatch.Instance
	for i := range topology.MaxFullMesh + 2 {
		list = append(list, galenalatch.Instance{
			ID: fmt.Sprint("r", i), Role: galenalatch.RouterRole, Address: "127.0.0.1:1", DataCentre: galenalatch.DataCentre("ab"[i%2 : i%2+1]),
		})
	}
	first := topology.New("r0", "a", list)
	relays := first.Relays["a"]
	listener := first.In("a")[slices.IndexFunc(first.In("a"), func(r galenalatch.RouterID) bool { return !slices.Contains(relays, r) })]
	for _, self := range []galenalatch.RouterID{relays[1], listener} {
		p := newPeer(t, self, "a")
		assert.NilError(t, p.SetPeers(list, topology.New(self, "a", list), "token-of-the-fleet"))
		p.receive(relays[0], galenalatch.RemoteLoad{Load: galenalatch.RouterLoad{
			AgeTenths:  40,
			Workspaces: []galenalatch.WorkspaceUsage{{Workspace: share.Key("large"), Requested: 5, Started: 5}},
		}})
		// 5,000 tokens started; the throughput of the window is 4,000.
		want := 1.25
		if self == relays[1] {
			want = 0
		}
		f := p.ledger.Fractions(time.Now(), "large", 1000).OfRate
		assert.Equal(t, f, want, "%s", self)
	}
}

// Guards against messages that grow with the number of workspaces, and against
// sums that omit the tokens of workspaces that are not listed.
func TestMessageSizeIsBounded(t *testing.T) {
	const count = 11000
	now := time.Now()
	sum := newLoadSum()
	for i := range count {
		sum.workspaces[uint32(i)] = share.Usage{Requested: float64(i%1000+1) * tokenUnit, Started: tokenUnit}
	}
	m := sum.message(now)
	assert.Equal(t, len(m.Workspaces), maxWorkspaces)
	data, err := cbor.Marshal(m)
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 2000, "%d bytes", len(data))
	requested, started := m.Others.Requested, m.Others.Started
	lowest := uint32(math.MaxUint32)
	for _, w := range m.Workspaces {
		requested, started, lowest = requested+w.Requested, started+w.Started, min(lowest, w.Requested)
	}
	assert.Equal(t, int(m.Others.Count), count-maxWorkspaces)
	assert.Equal(t, int(requested), count/1000*1000*1001/2)
	assert.Equal(t, int(started), count)
	assert.Assert(t, lowest > 980, "an entry of a workspace that asked for %d", lowest)
	few := newLoadSum()
	few.workspaces[1] = share.Usage{Requested: tokenUnit}
	assert.Assert(t, few.message(now).Others == nil)
	// The sum of two such messages is bounded too and omits nothing.
	twice := newLoadSum()
	twice.add(now, m)
	twice.add(now, m)
	assert.Equal(t, twice.message(now).Others.Started, 2*m.Others.Started)
	assert.Equal(t, len(twice.message(now).Workspaces), maxWorkspaces)
}
