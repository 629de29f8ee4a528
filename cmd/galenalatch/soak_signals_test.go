//go:build linux

package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch/internal/standin/backend"
)

const (
	// leavingBound is the time after which a gateway that has passed on an answer with
	// the announcement of a server sends it no request any more.
	leavingBound = 2 * time.Second
	// soakPause is the pause that servers ask for, in seconds.
	soakPause = "0.8"
)

// soakSignals makes servers announce their leaving, without a row, and ask for pauses,
// beside the faults of inject. It draws from a random source of its own, so that the
// seeds of earlier failures inject the same faults as before.
type soakSignals struct {
	fleet  *soakFleet
	random *rand.Rand
	next   time.Time
	// leaving is the server that is to be replaced at leavingEnd, paused the one that
	// asks for pauses until pauseEnd.
	leaving    *backendServer
	announced  *backend.Server
	leavingEnd time.Time
	paused     *backend.Server
	pauseEnd   time.Time
}

func newSoakSignals(f *soakFleet, seed uint64) *soakSignals {
	return &soakSignals{fleet: f, random: rand.New(rand.NewPCG(seed, 1))}
}

// step begins and ends signals.
func (s *soakSignals) step(now time.Time) {
	if s.paused != nil && now.After(s.pauseEnd) {
		s.endPause()
	}
	if s.announced != nil && now.After(s.leavingEnd) {
		s.endLeaving()
	}
	if now.Before(s.next) {
		return
	}
	s.next = now.Add(time.Duration(200+s.random.IntN(600)) * time.Millisecond)
	w := pick(s.random, s.fleet.backends)
	switch {
	case s.announced == nil:
		s.leaving, s.announced = w, w.server
		s.leavingEnd = now.Add(leavingBound + time.Duration(500+s.random.IntN(1500))*time.Millisecond)
		s.fleet.announce(w.server)
	case s.paused == nil:
		s.paused, s.pauseEnd = w.server, now.Add(time.Duration(200+s.random.IntN(1500))*time.Millisecond)
		s.fleet.faultLog = append(s.fleet.faultLog, fmt.Sprintf("pause of %s", w.server.ID))
		w.server.RequestPause(soakPause)
	}
}

// end ends all signals.
func (s *soakSignals) end() {
	s.endPause()
	s.endLeaving()
}

func (s *soakSignals) endPause() {
	if s.paused != nil {
		s.paused.SetBehaviour(backend.Answer)
		s.paused = nil
	}
}

// endLeaving replaces the server that has announced its leaving, unless a fault has.
func (s *soakSignals) endLeaving() {
	if s.announced != nil && s.leaving.server == s.announced {
		s.fleet.store.RemoveServer(s.announced.ID)
		s.fleet.startServer(s.leaving, time.Second)
	}
	s.announced = nil
}

// announce makes a server say in its answers that it leaves.
func (f *soakFleet) announce(s *backend.Server) {
	f.faultLog = append(f.faultLog, fmt.Sprintf("announcement of %s", s.ID))
	f.announced[s] = time.Now()
	s.AnnounceLeaving()
}

// checkLeaving returns the requests that reached a server later than leavingBound after
// their gateway had passed on an answer with its announcement.
func (c *soakClients) checkLeaving() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var violations []string
	for s, at := range c.fleet.announced {
		heard := make(map[int]time.Time)
		for _, r := range s.Log() {
			q := c.requests[r.ID]
			if r.At.After(at) && q.server == s.ID && (heard[q.gateway].IsZero() || q.answered.Before(heard[q.gateway])) {
				heard[q.gateway] = q.answered
			}
		}
		for _, r := range s.Log() {
			q := c.requests[r.ID]
			since, ok := heard[q.gateway]
			if ok && q.at.After(since.Add(leavingBound)) && !c.fleet.gateways[q.gateway].disruptedSince(since) {
				violations = append(violations, fmt.Sprintf("request %s reached %s %s after gateway-%d had heard that it leaves", r.ID, s.ID, r.At.Sub(since), q.gateway))
			}
		}
	}
	return violations
}

// disruptedSince reports whether the process was started or sent a signal after t.
func (g *gatewayProcess) disruptedSince(t time.Time) bool {
	return slices.ContainsFunc(g.disruptions, t.Before)
}
