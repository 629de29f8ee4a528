package assignment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
)

// Guards against one caller with an absurd deadline after which no slot settles any more.
func TestAnnouncedWaitIsBounded(t *testing.T) {
	m := newModel(1)
	m.advance(2 * time.Second)
	c := m.routers[0].controller
	s, err := c.Begin(m.now, Attempt{Service: modelService, ID: "s", Wait: 1000 * time.Hour})
	assert.NilError(t, err)
	s.End(m.now, Broken)
	assert.Assert(t, c.services[modelService].life <= maxWait+lateResume)
	m.servers = map[string]int{"v2": 4}
	m.advance(maxWait + 2*lateResume)
	version, ok := c.resumeVersion(m.now, "s")
	assert.Assert(t, ok)
	assert.Equal(t, version, "v2")
}

// resumeVersion returns the version at which the plan resumes a stream, if it is known.
func (c *Controller) resumeVersion(now time.Time, id galenalatch.RequestID) (string, bool) {
	s, err := c.resumePlanned(now, Attempt{Service: modelService, ID: id})
	if err != nil {
		return "", false
	}
	defer s.End(now, Unsent)
	return s.Version, true
}

// Guards against a relay of a large fleet that takes the sum which it makes itself for a sign
// of another router, while it is cut off.
func TestOwnSumIsNoContact(t *testing.T) {
	m := newModel(2)
	m.advance(time.Second)
	r := m.routers[0]
	r.cutSince = m.now
	m.advance(2 * maxReportAge)
	assert.Assert(t, r.controller.readPlans(t.Context(), m.now) != nil)
	m.advance(2 * maxReportAge)
	r.controller.SetRemote(m.now, galenalatch.RemoteDataCentres, nil)
	assert.Assert(t, !r.controller.heardPlan(m.now, modelService))
	r.controller.SetRemote(m.now, "r1", nil)
	assert.Assert(t, r.controller.heardPlan(m.now, modelService))
}
