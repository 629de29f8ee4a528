package feed

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
)

type noEvents struct{}

func (noEvents) StoreUnreachable(string, time.Duration, error)                    {}
func (noEvents) StoreReachable(string, time.Duration)                             {}
func (noEvents) StoreRestored(string, galenalatch.Position, galenalatch.Position) {}

// stamp returns the stamp of an answer as of a position.
func stamp(era, version uint64) galenalatch.Stamp {
	return galenalatch.Stamp{Position: galenalatch.Position{Era: era, Version: version}}
}

// follow runs a feed for the time d and returns the positions after which it
// read.
func follow(t *testing.T, f *Feed, d time.Duration) (after []galenalatch.Position) {
	t.Helper()
	read := f.Read
	f.Read = func(ctx context.Context, a, seen galenalatch.Position, wait time.Duration) (galenalatch.Stamp, error) {
		after = append(after, a)
		return read(ctx, a, seen, wait)
	}
	f.Events = noEvents{}
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	assert.ErrorIs(t, f.Run(ctx), context.DeadlineExceeded)
	return after
}

// Guards against relayed answers that queue up behind the minimum interval
// between calls: a router learned 4 s late that a server was leaving.
func TestRelayedAnswersDoNotPileUp(t *testing.T) {
	for _, relayed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			version := uint64(0)
			read := follow(t, &Feed{MinInterval: 150 * time.Millisecond, Read: func(ctx context.Context, _, _ galenalatch.Position, wait time.Duration) (galenalatch.Stamp, error) {
				if version < 20 {
					version++
				} else {
					time.Sleep(time.Second)
				}
				s := stamp(0, version)
				s.Relayed = relayed
				return s, nil
			}}, 500*time.Millisecond)
			if relayed {
				assert.Assert(t, len(read) > 20, "%d answers", len(read))
			} else {
				assert.Assert(t, len(read) <= 5, "%d calls", len(read))
			}
		})
	}
}

// Guards against a feed that continues after the store has dropped a part of
// the history, and against calls without a pause while the store is down.
func TestErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		read := follow(t, &Feed{Wait: time.Hour, Read: func(ctx context.Context, _, _ galenalatch.Position, _ time.Duration) (galenalatch.Stamp, error) {
			calls++
			switch calls {
			case 2:
				return galenalatch.Stamp{}, galenalatch.ErrHistoryGone
			case 4:
				<-ctx.Done()
				return galenalatch.Stamp{}, ctx.Err()
			}
			return stamp(0, 7), nil
		}}, time.Minute)
		assert.DeepEqual(t, read, []galenalatch.Position{galenalatch.ReadAll, {Version: 7}, galenalatch.ReadAll, {Version: 7}})
	})
	synctest.Test(t, func(t *testing.T) {
		read := follow(t, &Feed{Read: func(context.Context, galenalatch.Position, galenalatch.Position, time.Duration) (galenalatch.Stamp, error) {
			return galenalatch.Stamp{}, errors.New("down")
		}}, 10*time.Second)
		assert.Assert(t, len(read) < 40, "%d calls in 10 s", len(read))
	})
	assert.ErrorContains(t, CheckAnswer(stamp(0, 6), galenalatch.ReadAll, stamp(0, 7).Position, nil), "after version 7")
	assert.NilError(t, CheckAnswer(stamp(0, 7), galenalatch.ReadAll, stamp(0, 7).Position, nil))
}

// restorations records the positions with which StoreRestored is called.
type restorations struct {
	noEvents
	seen []galenalatch.Position
}

func (r *restorations) StoreRestored(_ string, before, now galenalatch.Position) {
	r.seen = append(r.seen, before, now)
}

// Guards against a feed that goes on from a position of an earlier era, since the store
// gives out its versions again and then leaves out what came before them; against one
// that refuses the lower versions of a later era; and against one that takes an answer of
// an earlier era for a return of the store.
func TestNewEraIsReadWhole(t *testing.T) {
	at := func(era, version uint64) galenalatch.Position { return stamp(era, version).Position }
	all := galenalatch.ReadAll
	tests := []struct {
		name    string
		answers []galenalatch.Position
		// read are the positions after which the feed reads, the last one after all answers.
		read     []galenalatch.Position
		restored []galenalatch.Position
	}{
		{"lower version", []galenalatch.Position{at(0, 7), at(1, 5), at(1, 5)}, []galenalatch.Position{all, at(0, 7), all, at(1, 5)}, []galenalatch.Position{at(0, 7), at(1, 5)}},
		{"same version", []galenalatch.Position{at(0, 7), at(1, 7), at(1, 7)}, []galenalatch.Position{all, at(0, 7), all, at(1, 7)}, []galenalatch.Position{at(0, 7), at(1, 7)}},
		{"higher version", []galenalatch.Position{at(0, 7), at(1, 9), at(1, 9)}, []galenalatch.Position{all, at(0, 7), all, at(1, 9)}, []galenalatch.Position{at(0, 7), at(1, 9)}},
		{"two returns", []galenalatch.Position{at(0, 7), at(1, 9), at(1, 9), at(2, 8), at(2, 8)}, []galenalatch.Position{all, at(0, 7), all, at(1, 9), all, at(2, 8)}, []galenalatch.Position{at(0, 7), at(1, 9), at(1, 9), at(2, 8)}},
		{"earlier era", []galenalatch.Position{at(1, 7), at(0, 9), at(1, 8)}, []galenalatch.Position{all, at(1, 7), at(1, 7), at(1, 8)}, nil},
		{"first era not 0", []galenalatch.Position{at(4, 7), at(4, 8)}, []galenalatch.Position{all, at(4, 7), at(4, 8)}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				events := &restorations{}
				var read []galenalatch.Position
				f := &Feed{Wait: time.Second, Events: events}
				f.Read = func(ctx context.Context, after, seen galenalatch.Position, _ time.Duration) (galenalatch.Stamp, error) {
					read = append(read, after)
					if len(read) > len(tt.answers) {
						<-ctx.Done()
						return galenalatch.Stamp{}, ctx.Err()
					}
					s := galenalatch.Stamp{Position: tt.answers[len(read)-1]}
					return s, CheckAnswer(s, after, seen, nil)
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				assert.ErrorIs(t, f.Run(ctx), context.DeadlineExceeded)
				assert.DeepEqual(t, read, tt.read)
				assert.DeepEqual(t, events.seen, tt.restored)
			})
		})
	}
}

// Guards against a fleet whose routers all read the whole table in the same moment,
// because they learn of the store's return together.
func TestListenersReadAtDifferentTimes(t *testing.T) {
	const (
		routers  = 300
		interval = 100 * time.Millisecond
		// maxReads is the largest number of reads in an interval. In a uniform spread it
		// is 75 with a standard deviation of 7.5.
		maxReads = 130
	)
	synctest.Test(t, func(t *testing.T) {
		reads := make(chan time.Duration, routers)
		start := time.Now()
		for range routers {
			f := &Feed{Listens: func() bool { return true }}
			calls := 0
			f.Read = func(ctx context.Context, after, _ galenalatch.Position, _ time.Duration) (galenalatch.Stamp, error) {
				calls++
				switch calls {
				case 1:
					return stamp(0, 7), nil
				case 2:
					return galenalatch.Stamp{}, galenalatch.ErrHistoryGone
				case 3:
					assert.Check(t, after == galenalatch.ReadAll)
					reads <- time.Since(start)
				}
				<-ctx.Done()
				return galenalatch.Stamp{}, ctx.Err()
			}
			go follow(t, f, time.Second)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		counts := make(map[time.Duration]int)
		for range routers {
			counts[(<-reads)/interval]++
		}
		for i, n := range counts {
			assert.Assert(t, n <= maxReads, "%d reads from %s on", n, i*interval)
		}
	})
}

// Guards against a feed that learns late that the store is back: during an
// outage without answers, a call must not be held for the whole wait of the
// feed, and the pause after it counts from the start of the call. The store
// never holds a read of the whole table.
func TestSilentStore(t *testing.T) {
	tests := []struct {
		name string
		// answered is the number of calls that are answered before the outage.
		answered int
		gaps     []time.Duration
	}{
		{"from the start", 0, []time.Duration{wholeTableTimeout, wholeTableTimeout, wholeTableTimeout}},
		{"after the first answer", 1, []time.Duration{0, 15*time.Second + AnswerTimeout, AnswerTimeout, AnswerTimeout}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var began []time.Duration
				start := time.Now()
				follow(t, &Feed{Wait: 15 * time.Second, Read: func(ctx context.Context, _, _ galenalatch.Position, wait time.Duration) (galenalatch.Stamp, error) {
					began = append(began, time.Since(start))
					if len(began) <= tt.answered {
						return stamp(0, 7), nil
					}
					<-ctx.Done()
					return galenalatch.Stamp{}, ctx.Err()
				}}, 20*time.Second)
				for i, gap := range tt.gaps {
					assert.Equal(t, began[i+1]-began[i], gap, "call %d", i)
				}
			})
		})
	}
}

// Guards against calls of all routers of a fleet during an outage, although the routers
// that relay the answers also tell them when it ends.
func TestListeningDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const relayed = 1300 * time.Millisecond
		calls := map[bool]int{}
		for _, listens := range []bool{false, true} {
			f := &Feed{Wait: 2 * time.Second, Listens: func() bool { return listens }}
			f.Read = func(_ context.Context, after, _ galenalatch.Position, wait time.Duration) (galenalatch.Stamp, error) {
				if after == galenalatch.ReadAll {
					return stamp(0, 7), nil
				}
				if wait > 0 {
					time.Sleep(relayed)
				}
				return galenalatch.Stamp{}, errors.New("down")
			}
			calls[listens] = len(follow(t, f, time.Minute))
		}
		assert.Assert(t, calls[true]*5 <= calls[false]*2, "%d calls; a router that polls makes %d", calls[true], calls[false])
	})
}
