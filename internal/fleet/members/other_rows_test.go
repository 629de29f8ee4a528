package members

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/standin/store"
)

// otherRows records the calls of Options.OtherRows.
type otherRows struct {
	mu    sync.Mutex
	calls []otherRowsCall
}

type otherRowsCall struct {
	rows      map[string]galenalatch.StoreRow
	restarted bool
}

func (o *otherRows) add(_ galenalatch.Stamp, rows map[string]galenalatch.StoreRow, restarted bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls = append(o.calls, otherRowsCall{rows, restarted})
}

// firstAndLast returns the first and the last call.
func (o *otherRows) firstAndLast() (first, last otherRowsCall) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.calls[0], o.calls[len(o.calls)-1]
}

// Guards against rows of other packages that a router takes for its own, misses, or reads
// late, and against a router that does not notice that it was killed before.
func TestOtherRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := store.New()
		write := func(key, value string, version uint64) {
			assert.NilError(t, shared.Write(t.Context(), table, galenalatch.StoreRow{Key: key, Value: []byte(value), Version: version}))
		}
		write("plan/a", "1", 0)
		start := func() (*router, *otherRows) {
			r, o := &router{}, &otherRows{}
			r.list = New(Options{
				Store: shared, Direct: shared, Events: &r.events, Changed: r.changed, OtherRows: o.add,
				Self: Member{ID: "r1", Address: "10.0.0.1:7400", DataCentre: "a", Start: time.Now().String()},
			})
			r.run(t)
			time.Sleep(3 * time.Second)
			return r, o
		}
		r, told := start()
		first, _ := told.firstAndLast()
		assert.Equal(t, string(first.rows["plan/a"].Value), "1")
		assert.Equal(t, len(first.rows), 1)
		assert.Assert(t, !first.restarted)
		rows, err := r.list.ReadOtherRows(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 0)
		write("plan/a", "2", 1)
		rows, err = r.list.ReadOtherRows(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, string(rows["plan/a"].Value), "2")
		time.Sleep(pollWait)
		_, last := told.firstAndLast()
		assert.Equal(t, string(last.rows["plan/a"].Value), "2")
		shared.SetFault(store.RefuseCalls)
		_, err = r.list.ReadOtherRows(t.Context())
		assert.Assert(t, err != nil)
		shared.SetFault(store.NoFault)
		r.cancel()
		r, told = start()
		first, last = told.firstAndLast()
		assert.Assert(t, first.restarted && !last.restarted)
		r.cancel()
	})
}
