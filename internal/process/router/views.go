package router

import (
	"context"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
)

// views keeps the catalogue and the holders of cells up to date.
type views struct {
	router *Router
	mu     sync.Mutex
	read   time.Time
}

const (
	confirmEvery  = 500 * time.Millisecond
	freshFor      = 2 * time.Second
	confirmWithin = time.Second
)

func (v *views) run(ctx context.Context) error {
	return v.loop(ctx)
}

func (v *views) loop(ctx context.Context) error {
	tick := time.NewTicker(confirmEvery)
	defer tick.Stop()
	for {
		v.confirm(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (v *views) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmWithin)
	defer cancel()
	_, sent, err := v.router.catalogue.Confirm(ctx)
	v.router.platform.note(err)
	if err != nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.read = sent
}

func (v *views) fresh() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if age := time.Since(v.read); age > freshFor {
		return galenalatch.KindCatalogueStale.Errorf("the catalogue was last confirmed %s ago", age.Round(time.Millisecond))
	}
	return nil
}

// holder returns the newest known holder of a cell.
func (v *views) holder(c galenalatch.CellID) (galenalatch.Holder, bool) {
	s := v.router.leases.State(c)
	if s.Epoch != 0 && (s.Held || s.Lapsed) {
		return galenalatch.Holder{Cell: c, Router: v.router.settings.ID, Epoch: s.Epoch}, true
	}
	if s.Holder == "" || s.Released || s.Holder == v.router.settings.ID {
		return galenalatch.Holder{}, false
	}
	return galenalatch.Holder{Cell: c, Router: s.Holder, Epoch: s.HolderEpoch}, true
}

// holders returns the newest known holders of all cells.
func (v *views) holders() []galenalatch.Holder {
	var all []galenalatch.Holder
	for _, c := range v.router.fleet.Directory().AllCells() {
		if h, ok := v.holder(c); ok {
			all = append(all, h)
		}
	}
	return all
}

// held returns the versions that routers are known to hold.
func (v *views) held() map[galenalatch.RouterID]galenalatch.Version {
	return map[galenalatch.RouterID]galenalatch.Version{v.router.settings.ID: v.router.catalogue.Current().Version}
}

// accepted returns how many of the listed routers hold a version.
func (v *views) accepted(galenalatch.Version) (held, total int) {
	return 1, 1
}
