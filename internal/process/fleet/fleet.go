// Package fleet keeps the router's view of the fleet: it reads the instance
// list and derives the directory from it and the catalogue.
package fleet

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/directory"
)

// readEvery is how often the instance list is read. A leaving server must get
// no new work after 3 s, so the list may be one second old.
const readEvery = time.Second

// Fleet is the present view. It is safe for concurrent use.
type Fleet struct {
	list      galenalatch.InstanceList
	changed   func([]galenalatch.Instance)
	failed    func(error)
	mu        sync.Mutex
	catalogue galenalatch.Catalogue
	instances []galenalatch.Instance
	directory atomic.Pointer[directory.Directory]
	seen      atomic.Bool
}

// Option changes a Fleet.
type Option func(*Fleet)

// WithChanged calls f with each new instance list.
func WithChanged(f func([]galenalatch.Instance)) Option {
	return func(t *Fleet) { t.changed = f }
}

// WithFailed calls f with the error of each read, nil after a good one.
func WithFailed(f func(error)) Option {
	return func(t *Fleet) { t.failed = f }
}

// New returns a view without instances.
func New(l galenalatch.InstanceList, options ...Option) *Fleet {
	f := &Fleet{
		list:    l,
		changed: func([]galenalatch.Instance) {},
		failed:  func(error) {},
	}
	for _, o := range options {
		o(f)
	}
	f.directory.Store(directory.New(galenalatch.Catalogue{}, nil))
	return f
}

// Directory returns the present directory. It is never nil.
func (f *Fleet) Directory() *directory.Directory {
	return f.directory.Load()
}

// Instances returns the instance list as last read.
func (f *Fleet) Instances() []galenalatch.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances
}

// Seen reports whether the instance list was read at least once.
func (f *Fleet) Seen() bool {
	return f.seen.Load()
}

// SetCatalogue derives the directory from a newer catalogue.
func (f *Fleet) SetCatalogue(c galenalatch.Catalogue) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Version < f.catalogue.Version {
		return
	}
	f.catalogue = c
	f.directory.Store(f.Directory().WithCatalogue(c))
}

// Run reads the instance list until the context ends. A list that cannot be
// read leaves the last one in place.
func (f *Fleet) Run(ctx context.Context) error {
	return f.loop(ctx)
}

func (f *Fleet) loop(ctx context.Context) error {
	tick := time.NewTicker(readEvery)
	defer tick.Stop()
	for {
		list, err := f.list.List(ctx)
		if ctx.Err() != nil {
			return nil
		}
		f.failed(err)
		if err == nil {
			f.set(list)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (f *Fleet) set(list []galenalatch.Instance) {
	f.mu.Lock()
	same := f.seen.Load() && slices.Equal(list, f.instances)
	if !same {
		f.instances = list
		f.directory.Store(directory.New(f.catalogue, list))
	}
	f.mu.Unlock()
	f.seen.Store(true)
	if !same {
		f.changed(list)
	}
}
