// Package fleet reads the instance list of the fleet and derives the directory
// from it and from the catalogue.
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

// readInterval is how often the instance list is read. A server that leaves must
// get no new work after 3 s, of which the age of the list takes up to one second.
const readInterval = time.Second

// Fleet holds the last instance list and the directory derived from it. It is
// safe for concurrent use. Create it with New.
type Fleet struct {
	list      galenalatch.InstanceList
	onChange  func([]galenalatch.Instance)
	onRead    func(error)
	mu        sync.Mutex
	catalogue galenalatch.Catalogue
	instances []galenalatch.Instance
	directory atomic.Pointer[directory.Directory]
	loaded    atomic.Bool
}

// Option configures a Fleet.
type Option func(*Fleet)

// WithOnChange calls f with each instance list that differs from the one before,
// and with the first one. f is called from Run.
func WithOnChange(f func([]galenalatch.Instance)) Option {
	return func(t *Fleet) { t.onChange = f }
}

// WithOnRead calls f after each read of the instance list, with its error or nil.
// f is called from Run.
func WithOnRead(f func(error)) Option {
	return func(t *Fleet) { t.onRead = f }
}

// New returns a Fleet that has no instances until Run reads l.
func New(l galenalatch.InstanceList, options ...Option) *Fleet {
	f := &Fleet{
		list:     l,
		onChange: func([]galenalatch.Instance) {},
		onRead:   func(error) {},
	}
	for _, o := range options {
		o(f)
	}
	f.directory.Store(directory.New(galenalatch.Catalogue{}, nil))
	return f
}

// Directory returns the current directory. It is never nil.
func (f *Fleet) Directory() *directory.Directory {
	return f.directory.Load()
}

// Instances returns the last instance list that was read, nil before the first.
// The caller must not modify it.
func (f *Fleet) Instances() []galenalatch.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances
}

// Loaded reports whether the instance list was read at least once.
func (f *Fleet) Loaded() bool {
	return f.loaded.Load()
}

// SetCatalogue derives the directory from c. A catalogue with an older version
// than the current one is ignored.
func (f *Fleet) SetCatalogue(c galenalatch.Catalogue) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Version < f.catalogue.Version {
		return
	}
	f.catalogue = c
	f.directory.Store(f.Directory().WithCatalogue(c))
}

// Run reads the instance list every second until ctx ends. After a failed read
// the last list stays in use. It always returns nil.
func (f *Fleet) Run(ctx context.Context) error {
	return f.loop(ctx)
}

func (f *Fleet) loop(ctx context.Context) error {
	tick := time.NewTicker(readInterval)
	defer tick.Stop()
	for {
		list, err := f.list.List(ctx)
		if ctx.Err() != nil {
			return nil
		}
		f.onRead(err)
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
	same := f.loaded.Load() && slices.Equal(list, f.instances)
	if !same {
		f.instances = list
		f.directory.Store(directory.New(f.catalogue, list))
	}
	f.mu.Unlock()
	f.loaded.Store(true)
	if !same {
		f.onChange(list)
	}
}
