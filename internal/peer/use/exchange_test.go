package use

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/decide/share"
)

// peer is a router with its exchange.
type peer struct {
	*Exchange
	ledger   *share.Ledger
	answered chan galenalatch.StoreAnswer
	address  string
}

func newPeer(t *testing.T, id galenalatch.RouterID) *peer {
	t.Helper()
	p := &peer{ledger: share.New(4 * time.Second), answered: make(chan galenalatch.StoreAnswer, 10)}
	p.Exchange = New(Options{
		Self: id, Start: string(id) + "-1", DataCentre: "a", Ledger: p.ledger,
		Table:     placement.New(placement.Options{Self: id, Local: "a", ReadRate: 50}),
		Answered:  func(a galenalatch.StoreAnswer) { p.answered <- a },
		Connected: func(galenalatch.RouterID) {},
		Lost:      func(galenalatch.RouterID, error) {},
	})
	server := httptest.NewServer(p)
	p.address = strings.TrimPrefix(server.URL, "http://")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
		server.Close()
	})
	return p
}

// Guards against routers that do not hear what others have under way, and
// against answers of the store that are not passed on.
func TestExchange(t *testing.T) {
	a, b := newPeer(t, "r1"), newPeer(t, "r2")
	list := []galenalatch.Instance{
		{ID: "r1", Role: galenalatch.RouterRole, Address: a.address, DataCentre: "a"},
		{ID: "r2", Role: galenalatch.RouterRole, Address: b.address, DataCentre: "a"},
	}
	for _, p := range []*peer{a, b} {
		assert.NilError(t, p.SetPeers(list, "token-of-the-fleet"))
	}
	now := time.Now()
	a.ledger.Add(now, "large", share.Use{Asked: 9000, Begun: 8000})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		// 8,000 of the 4,000 tokens that fit into the window.
		if f := b.ledger.Fraction(time.Now(), "large", 1000); f < 1.9 {
			return poll.Continue("fraction %.2f", f)
		}
		return poll.Success()
	}, poll.WithTimeout(3*time.Second), poll.WithDelay(10*time.Millisecond))

	sent := galenalatch.StoreAnswer{
		Feed: "operators", After: 4, Version: 9, Clock: time.Second,
		Configuration: &galenalatch.Configuration{
			Version: 3, Services: map[string]galenalatch.Service{"x": {Name: "x"}}, Keys: map[string]galenalatch.Owner{"k": {Workspace: "w"}},
			Routes: []galenalatch.HostRoute{{Name: "r", Targets: []galenalatch.Target{{Service: "x", Weight: 1}}}},
		},
	}
	a.Pass(sent)
	got := <-b.answered
	assert.DeepEqual(t, got.Configuration, sent.Configuration)
	assert.Equal(t, got.Version, uint64(9))

	silent, connected := a.Silent(time.Now(), time.Minute)
	assert.Assert(t, connected)
	assert.Equal(t, len(silent), 0)
}
