package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
)

// Guards against Progress messages every second that contain nothing new, and
// against a missing message for a request that was not reported for 5 s, whose
// cost has risen by more than an eighth, or whose dispatcher asks.
func TestProgressIsSentWhenDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent []galenalatch.Used
		e := New(Options{
			Holder: func(c galenalatch.CellID) (galenalatch.Holder, bool) {
				return galenalatch.Holder{Cell: c, Router: "r"}, true
			},
			Send: func(_ galenalatch.RouterID, m galenalatch.Message) bool {
				sent = append(sent, m.(galenalatch.Progress).Used...)
				return true
			},
		})
		g := galenalatch.Grant{Request: "q", Serial: 7}
		r := &running{grant: g, record: galenalatch.Waiting{Estimate: 80}}
		e.running["q"] = r
		for _, tt := range []struct {
			units int64
			ask   bool
			want  int
		}{
			{0, false, 1}, {40, false, 0}, {80, false, 0}, {90, false, 0}, {91, false, 1},
			{100, false, 0}, {103, false, 1}, {103, false, 0}, {103, true, 1},
			{103, false, 0}, {103, false, 0}, {103, false, 0}, {103, false, 0}, {103, false, 1},
		} {
			sent = nil
			r.units.Store(tt.units)
			if tt.ask {
				a := g
				a.StatusQuery = true
				e.onGrant(a)
			} else {
				e.sendProgress(time.Now())
			}
			assert.Equal(t, len(sent), tt.want, "%+v", tt)
			for _, u := range sent {
				assert.Equal(t, u, galenalatch.Used{Serial: 7, Units: tt.units})
			}
			<-time.After(time.Second)
		}
	})
}
