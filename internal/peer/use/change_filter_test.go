package use

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
	server := func(running uint16) galenalatch.RouterUse {
		return galenalatch.RouterUse{Servers: []galenalatch.ServerUse{{Server: 1, Running: running}}}
	}
	workspace := func(asked uint32) galenalatch.RouterUse {
		return galenalatch.RouterUse{Workspaces: []galenalatch.WorkspaceUse{{Workspace: 1, Asked: asked}}}
	}
	others := func(u galenalatch.RouterUse) galenalatch.RouterUse {
		u.Others = &galenalatch.OtherUse{Count: 1, Asked: 2}
		return u
	}
	tests := []struct {
		name   string
		before galenalatch.RouterUse
		pause  time.Duration
		now    galenalatch.RouterUse
		due    bool
	}{
		{"nothing has changed", server(1), resendInterval - 1, server(1), false},
		{"resend interval has passed", server(1), resendInterval, server(1), true},
		{"a server has changed", server(1), time.Millisecond, server(2), true},
		{"a workspace has changed", workspace(1), time.Millisecond, workspace(2), true},
		{"other workspaces have changed", workspace(1), time.Millisecond, others(workspace(1)), true},
		{"the last request has ended", server(1), time.Millisecond, galenalatch.RouterUse{}, true},
		{"idle", galenalatch.RouterUse{}, resendInterval, galenalatch.RouterUse{}, false},
		{"idle resend interval has passed", galenalatch.RouterUse{}, idleResendInterval, galenalatch.RouterUse{}, true},
		{"first request", galenalatch.RouterUse{}, time.Millisecond, workspace(1), true},
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
		p.receive(relays[0], galenalatch.ElsewhereUse{Use: galenalatch.RouterUse{
			AgeTenths:  40,
			Workspaces: []galenalatch.WorkspaceUse{{Workspace: share.Key("large"), Asked: 5, Begun: 5}},
		}})
		// 5,000 tokens started; the throughput of the window is 4,000.
		want := 1.25
		if self == relays[1] {
			want = 0
		}
		f, _ := p.ledger.Fractions(time.Now(), "large", 1000)
		assert.Equal(t, f, want, "%s", self)
	}
}

// Guards against messages that grow with the number of workspaces, and against
// sums that omit the tokens of workspaces that are not listed.
func TestMessageSizeIsBounded(t *testing.T) {
	const count = 11000
	sum := newLoadSum()
	for i := range count {
		sum.workspaces[uint32(i)] = share.Usage{Requested: float64(i%1000+1) * tokenUnit, Started: tokenUnit}
	}
	m := sum.message()
	assert.Equal(t, len(m.Workspaces), maxWorkspaces)
	data, err := cbor.Marshal(m)
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 2000, "%d bytes", len(data))
	asked, begun := m.Others.Asked, m.Others.Begun
	lowest := uint32(math.MaxUint32)
	for _, w := range m.Workspaces {
		asked, begun, lowest = asked+w.Asked, begun+w.Begun, min(lowest, w.Asked)
	}
	assert.Equal(t, int(m.Others.Count), count-maxWorkspaces)
	assert.Equal(t, int(asked), count/1000*1000*1001/2)
	assert.Equal(t, int(begun), count)
	assert.Assert(t, lowest > 980, "an entry of a workspace that asked for %d", lowest)
	few := newLoadSum()
	few.workspaces[1] = share.Usage{Requested: tokenUnit}
	assert.Assert(t, few.message().Others == nil)
	// The sum of two such messages is bounded too and omits nothing.
	twice := newLoadSum()
	twice.add(m)
	twice.add(m)
	assert.Equal(t, twice.message().Others.Begun, 2*m.Others.Begun)
	assert.Equal(t, len(twice.message().Workspaces), maxWorkspaces)
}
