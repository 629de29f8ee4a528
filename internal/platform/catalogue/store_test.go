package catalogue_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/platform/catalogue"
	"github.com/galenalatch/galenalatch/internal/platform/httpclient"
	"github.com/galenalatch/galenalatch/internal/platform/object"
	"github.com/galenalatch/galenalatch/internal/platform/table"
	"github.com/galenalatch/galenalatch/internal/standin/platform"
)

// newStore returns a store of a router that uses the platform s.
func newStore(t assert.TestingT, s *platform.Server, opts ...catalogue.Option) *catalogue.Store {
	c, err := httpclient.New("http://platform", httpclient.WithTransport(s.Transport()))
	assert.NilError(t, err)
	return catalogue.New(table.New(c), object.New(c), opts...)
}

// outOfServiceChange returns a change that takes a data centre out of service.
func outOfServiceChange(id, dataCentre string) galenalatch.Change {
	return galenalatch.Change{ID: id, Author: "op", PutOut: []galenalatch.DataCentre{galenalatch.DataCentre(dataCentre)}}
}

// applyChanges applies n changes.
func applyChanges(t *testing.T, s *catalogue.Store, n int) {
	t.Helper()
	for range n {
		v := s.Current().Version
		_, err := s.Apply(t.Context(), v, outOfServiceChange("", fmt.Sprint("d", v)))
		assert.NilError(t, err)
	}
}

// TestConflict guards against two changes with the same base both being
// accepted, and against an error that does not state the current version.
func TestConflict(t *testing.T) {
	server := platform.New()
	a, b := newStore(t, server), newStore(t, server)
	v, err := a.Apply(t.Context(), 0, outOfServiceChange("1", "x"))
	assert.NilError(t, err)
	assert.Equal(t, v, galenalatch.Version(1))
	_, err = b.Apply(t.Context(), 0, outOfServiceChange("2", "y"))
	assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindConflict)
	assert.ErrorContains(t, err, "the current version is 1")
	v, err = b.Apply(t.Context(), 0, outOfServiceChange("1", "x"))
	assert.NilError(t, err, "a repeated change is accepted once")
	assert.Equal(t, v, galenalatch.Version(1))
	assert.DeepEqual(t, b.Current(), a.Current())
}

// TestRefusedChanges guards against changes that are accepted although the
// catalogue would be invalid or the change is too large.
func TestRefusedChanges(t *testing.T) {
	server := platform.New()
	s := newStore(t, server, catalogue.WithValidation(func(c galenalatch.Catalogue) error {
		if len(c.OutOfService) > 1 {
			return errors.New("too many data centres are out of service")
		}
		return nil
	}))
	applyChanges(t, s, 1)
	_, err := s.Apply(t.Context(), 1, outOfServiceChange("2", "y"))
	assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindInvalidCatalogue)
	_, err = s.Apply(t.Context(), 1, galenalatch.Change{Author: strings.Repeat("x", 200<<10)})
	assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindTooLarge)
	assert.Equal(t, s.Current().Version, galenalatch.Version(1))
}

// TestPlatformFaults guards against a lost response that leads to a second
// version or to a wrong result, and against an outage that is reported as
// KindWriteUnknown.
func TestPlatformFaults(t *testing.T) {
	for name, tt := range map[string]struct {
		faults platform.Faults
		want   galenalatch.Kind
	}{
		"one response lost": {platform.Faults{LoseNext: 1}, ""},
		"late effect":       {platform.Faults{WriteDelayMillis: 1500}, ""},
		"never resolved":    {platform.Faults{WriteDelayMillis: 60000}, galenalatch.KindWriteUnknown},
		"writes refused":    {platform.Faults{RefuseWrites: true}, galenalatch.KindPlatformDown},
		"down":              {platform.Faults{Down: true}, galenalatch.KindPlatformDown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// The delayed writes take effect before the test ends.
				defer func() { <-time.After(time.Minute) }()
				server := platform.New()
				s := newStore(t, server)
				applyChanges(t, s, 1)
				server.SetFaults(tt.faults)
				_, err := s.Apply(t.Context(), 1, outOfServiceChange("id", "x"))
				if tt.want != "" {
					assert.Equal(t, galenalatch.KindOf(err), tt.want)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, s.Current().Version, galenalatch.Version(2))
				history, err := s.History(t.Context(), 5)
				assert.NilError(t, err)
				assert.Equal(t, len(history), 2)
			})
		})
	}
}

// TestSnapshots guards against routers that start with an old catalogue or read
// every change ever made, and against routers that cannot start when a snapshot
// is missing.
func TestSnapshots(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprint("lost=", lost), func(t *testing.T) {
			server := platform.New()
			writer := newStore(t, server)
			applyChanges(t, writer, 199)
			if lost {
				server.SetFaults(platform.Faults{Down: true, Targets: []string{"objects"}})
			}
			applyChanges(t, writer, 52)
			server.SetFaults(platform.Faults{})
			before := server.Stats().Reads
			s := newStore(t, server)
			v, sent, err := s.CatchUp(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, v, galenalatch.Version(251))
			assert.Assert(t, time.Since(sent) < time.Minute)
			assert.DeepEqual(t, s.Current(), writer.Current())
			assert.Assert(t, server.Stats().Reads-before <= 5)

			history, err := s.History(t.Context(), 170)
			assert.NilError(t, err)
			want, err := writer.History(t.Context(), 170)
			assert.NilError(t, err)
			assert.Equal(t, len(want), 170)
			assert.DeepEqual(t, history, want)
		})
	}
}

// TestPeerChanges guards against changes from peers that are applied out of
// order, and against a router far behind that cannot catch up while the
// platform is down.
func TestPeerChanges(t *testing.T) {
	server := platform.New()
	writer := newStore(t, server)
	applyChanges(t, writer, 120)
	server.SetFaults(platform.Faults{Down: true})
	var versions []galenalatch.Version
	s := newStore(t, server, catalogue.WithNotify(func(c galenalatch.Catalogue) { versions = append(versions, c.Version) }))

	changes := writer.EncodedChangesAfter(0)
	v, err := s.ApplyEncoded(changes[1:])
	assert.NilError(t, err)
	assert.Equal(t, v, galenalatch.Version(0), "a gap is not skipped")
	_, err = s.ApplyEncoded(changes[:2])
	assert.NilError(t, err)
	_, err = s.ApplyEncoded(changes)
	assert.NilError(t, err)
	assert.Equal(t, len(versions), 120)
	assert.DeepEqual(t, s.Current(), writer.Current())
	_, err = s.ApplyEncoded([][]byte{[]byte("{")})
	assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindBadRequest)

	server.SetFaults(platform.Faults{})
	late := newStore(t, server)
	applyChanges(t, writer, 1)
	_, _, err = late.CatchUp(t.Context())
	assert.NilError(t, err)
	fresh := newStore(t, server)
	_, err = fresh.ApplyEncoded(late.EncodedChangesAfter(0))
	assert.NilError(t, err)
	assert.DeepEqual(t, fresh.Current(), writer.Current())

	applyChanges(t, writer, 1)
	_, err = fresh.ApplyEncoded(writer.EncodedChangesAfter(50))
	assert.NilError(t, err)
	_, err = fresh.ApplyEncoded(late.EncodedChangesAfter(0))
	assert.NilError(t, err)
	assert.Equal(t, fresh.Current().Version, galenalatch.Version(122), "an older catalogue is ignored")
}

// TestCatalogueInParts guards against a router that starts during an outage of
// the platform and either cannot receive a catalogue that is larger than a
// message, or mixes the parts of two versions.
func TestCatalogueInParts(t *testing.T) {
	server := platform.New()
	a := newStore(t, server)
	for i := range 15 {
		var ch galenalatch.Change
		for j := range 700 {
			name := galenalatch.WorkspaceName(fmt.Sprint("w", i, "-", j))
			ch.PutWorkspaces = append(ch.PutWorkspaces, galenalatch.Workspace{Name: name, KeyHashes: []string{strings.Repeat("a", 64)}})
			ch.PutEntries = append(ch.PutEntries, galenalatch.Entry{Workspace: name, Class: galenalatch.Batch})
		}
		_, err := a.Apply(t.Context(), galenalatch.Version(i), ch)
		assert.NilError(t, err)
	}
	applyChanges(t, a, 100)
	b := newStore(t, server)
	_, _, err := b.CatchUp(t.Context())
	assert.NilError(t, err)

	s := newStore(t, server)
	_, err = s.ApplyEncoded(b.EncodedChangesAfter(0))
	assert.NilError(t, err)
	assert.Equal(t, s.Current().Version, galenalatch.Version(0))
	_, err = b.Apply(t.Context(), 115, galenalatch.Change{RemoveWorkspaces: []galenalatch.WorkspaceName{"w0-0"}})
	assert.NilError(t, err)
	// The first parts go to another router.
	b.EncodedChangesAfter(0)
	asks := 0
	for ; s.Current().Version == 0; asks++ {
		changes := b.EncodedChangesAfter(0)
		assert.Assert(t, len(bytes.Join(changes, nil)) <= 192<<10)
		_, err = s.ApplyEncoded(changes)
		assert.NilError(t, err)
		assert.Assert(t, asks < 50)
	}
	assert.DeepEqual(t, s.Current(), b.Current())
}

// TestHeadRowGoesBack guards against a confirmation by a head row that is older
// than an accepted version. This happens when the table has lost writes.
func TestHeadRowGoesBack(t *testing.T) {
	server := platform.New()
	s := newStore(t, server)
	applyChanges(t, s, 2)
	c, err := httpclient.New("http://platform", httpclient.WithTransport(server.Transport()))
	assert.NilError(t, err)
	_, err = table.New(c).Put(t.Context(), galenalatch.Write{Key: "catalogue/head", Value: []byte(`{"version":1}`)})
	assert.NilError(t, err)
	v, _, err := s.CatchUp(t.Context())
	assert.ErrorContains(t, err, "version 1, but version 2 was accepted")
	assert.Equal(t, v, galenalatch.Version(2))
}

// operator makes changes through its own router.
type operator struct {
	store            *catalogue.Store
	accepted         map[string]galenalatch.Version
	refused          map[string]galenalatch.Kind
	versionDecreased bool
}

// run applies n changes one after the other.
func (o *operator) run(ctx context.Context, name string, n int, wg *sync.WaitGroup) {
	defer wg.Done()
	for i := range n {
		id := fmt.Sprint(name, i)
		v, err := o.store.Apply(ctx, o.store.Current().Version, outOfServiceChange(id, id))
		if err != nil {
			o.refused[id] = galenalatch.KindOf(err)
			continue
		}
		o.accepted[id] = v
	}
}

// TestConcurrentOperators guards against changes of concurrent operators that
// are lost, made twice or reported with a wrong result, and against versions
// that decrease, while responses are lost or delayed.
func TestConcurrentOperators(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		server := platform.New(platform.WithSeed(rapid.Uint64().Draw(r, "seed")))
		server.SetFaults(platform.Faults{
			LoseShare:        rapid.SampledFrom([]float64{0, 0.3, 0.8}).Draw(r, "lost"),
			DelayMillis:      rapid.SampledFrom([]int64{0, 200, 600}).Draw(r, "delay"),
			WriteDelayMillis: rapid.SampledFrom([]int64{0, 0, 200, 800, 1200}).Draw(r, "write delay"),
		})
		n := rapid.IntRange(2, 4).Draw(r, "operators")
		var err error
		synctest.Test(t, func(t *testing.T) { err = runOperators(t.Context(), server, n) })
		assert.NilError(r, err)
	})
}

// runOperators lets n operators make changes at the same time and compares the
// history with what each was told.
func runOperators(ctx context.Context, server *platform.Server, n int) error {
	var errs []error
	operators := make([]*operator, n)
	var wg sync.WaitGroup
	for i := range operators {
		var last galenalatch.Version
		c, err := httpclient.New("http://platform", httpclient.WithTransport(server.Transport()))
		if err != nil {
			return err
		}
		o := &operator{accepted: map[string]galenalatch.Version{}, refused: map[string]galenalatch.Kind{}}
		o.store = catalogue.New(table.New(c), object.New(c), catalogue.WithNotify(func(c galenalatch.Catalogue) {
			if c.Version <= last {
				o.versionDecreased = true
			}
			last = c.Version
		}))
		operators[i] = o
		wg.Add(1)
		go o.run(ctx, string(rune('a'+i)), 6, &wg)
	}
	wg.Wait()
	// Delayed writes take effect before the result is read.
	<-time.After(2 * time.Second)
	server.SetFaults(platform.Faults{})
	reader := operators[0].store
	if _, _, err := reader.CatchUp(ctx); err != nil {
		return err
	}
	history, err := reader.History(ctx, 1000)
	if err != nil || galenalatch.Version(len(history)) != reader.Current().Version {
		return fmt.Errorf("history has %d changes, version is %d: %w", len(history), reader.Current().Version, err)
	}
	versions := map[string]galenalatch.Version{}
	for _, c := range history {
		if versions[c.ID] != 0 {
			errs = append(errs, fmt.Errorf("change %s is made twice", c.ID))
		}
		versions[c.ID] = c.Version
	}
	for _, o := range operators {
		if o.versionDecreased {
			errs = append(errs, errors.New("a version decreased"))
		}
		for id, v := range o.accepted {
			if versions[id] != v {
				errs = append(errs, fmt.Errorf("change %s was accepted as version %d and has version %d", id, v, versions[id]))
			}
		}
		for id, kind := range o.refused {
			if versions[id] != 0 && kind != galenalatch.KindWriteUnknown {
				errs = append(errs, fmt.Errorf("change %s was refused with %s and has version %d", id, kind, versions[id]))
			}
		}
	}
	return errors.Join(errs...)
}
