package members

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/standin/store"
)

// Guards against rows of other packages that a router takes for its own, misses, or reads
// late, and against a router that does not notice that it was killed before.
func TestOtherRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := store.New()
		write := func(key, value string, version uint64) {
			assert.NilError(t, shared.Write(t.Context(), table, galenalatch.StoreRow{Key: key, Value: []byte(value), Version: version}))
		}
		write("plan/a", "1", 0)
		type call struct {
			rows      map[string]galenalatch.StoreRow
			restarted bool
		}
		var calls []call
		start := func() *router {
			calls = nil
			r := &router{}
			r.list = New(Options{
				Store: shared, Direct: shared, Events: &r.events, Changed: r.changed,
				Self: Member{ID: "r1", Address: "10.0.0.1:7400", DataCentre: "a", Start: time.Now().String()},
				OtherRows: func(_ galenalatch.Stamp, rows map[string]galenalatch.StoreRow, restarted bool) {
					calls = append(calls, call{rows, restarted})
				},
			})
			r.run(t)
			time.Sleep(3 * time.Second)
			return r
		}
		first := start()
		assert.Equal(t, string(calls[0].rows["plan/a"].Value), "1")
		assert.Equal(t, len(calls[0].rows), 1)
		assert.Assert(t, !calls[0].restarted)
		rows, err := first.list.ReadOtherRows(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 0)
		write("plan/a", "2", 1)
		rows, err = first.list.ReadOtherRows(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, string(rows["plan/a"].Value), "2")
		time.Sleep(pollWait)
		assert.Equal(t, string(calls[len(calls)-1].rows["plan/a"].Value), "2")
		shared.SetFault(store.RefuseCalls)
		_, err = first.list.ReadOtherRows(t.Context())
		assert.Assert(t, err != nil)
		shared.SetFault(store.NoFault)
		first.cancel()
		second := start()
		assert.Assert(t, calls[0].restarted && !calls[len(calls)-1].restarted)
		second.cancel()
	})
}
