//go:build linux

package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/operator/client"
	"github.com/galenalatch/galenalatch/internal/operator/message"
)

// acceptTimeout is the time within which an accepted change must be in force on
// all routers (P10).
const acceptTimeout = 5 * time.Second

// race makes concurrent changes through all routers from the same base version
// and checks that exactly one of them is stored in each round: race ROUNDS. Each
// change adds a different workspace, so that the final check finds lost changes.
func (s *scenario) race(_ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("usage: race rounds")
	}
	rounds, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	all, err := s.statuses()
	if err != nil {
		return err
	}
	var base galenalatch.Version
	for _, v := range all {
		base = max(base, v.Version)
	}
	w := versionMonitor{scenario: s, stop: make(chan struct{}), ended: make(chan struct{})}
	go w.run()
	for range rounds {
		var name galenalatch.WorkspaceName
		if name, err = s.raceRound(base); err != nil {
			break
		}
		s.addedWorkspaces = append(s.addedWorkspaces, name)
		base++
		if err = s.awaitVersion(base); err != nil {
			break
		}
	}
	close(w.stop)
	<-w.ended
	return errors.Join(err, w.err, s.checkCatalogues(s.addedWorkspaces, base))
}

// raceRound makes one change through each router and returns the workspace of
// the stored change.
func (s *scenario) raceRound(base galenalatch.Version) (galenalatch.WorkspaceName, error) {
	type result struct {
		name galenalatch.WorkspaceName
		got  message.ApplyResult
		err  error
	}
	results := make([]result, len(s.fleet.routers))
	var wait sync.WaitGroup
	for i, r := range s.fleet.routers {
		wait.Go(func() {
			name := galenalatch.WorkspaceName(fmt.Sprintf("race-%d-%d", base, i))
			ch := galenalatch.Change{ID: string(name), Author: "race", PutWorkspaces: []galenalatch.Workspace{{
				Name: name, KeyHashes: []string{fmt.Sprintf("%064x", 1000*int(base)+i)},
			}}}
			ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
			defer cancel()
			got, err := client.New(r.Listen.Operator, tokens["GALENALATCH_OPERATOR_TOKEN"]).Apply(ctx, base, ch)
			results[i] = result{name, got, err}
		})
	}
	wait.Wait()
	var winner galenalatch.WorkspaceName
	for _, r := range results {
		switch {
		case r.err == nil && winner != "":
			return "", fmt.Errorf("both %s and %s were stored from version %d", winner, r.name, base)
		case r.err == nil && r.got.Version != base+1:
			return "", fmt.Errorf("%s was stored as version %d after %d", r.name, r.got.Version, base)
		case r.err == nil:
			winner = r.name
		case galenalatch.KindOf(r.err) != galenalatch.KindConflict:
			return "", fmt.Errorf("%s: %w", r.name, r.err)
		case !strings.Contains(r.err.Error(), fmt.Sprintf("current version %d", base+1)):
			return "", fmt.Errorf("%s: the conflict error does not state version %d: %w", r.name, base+1, r.err)
		}
	}
	if winner == "" {
		return "", fmt.Errorf("no change was stored after version %d", base)
	}
	return winner, nil
}

// awaitVersion waits until all running routers hold a catalogue version.
func (s *scenario) awaitVersion(v galenalatch.Version) error {
	return poll(acceptTimeout, func() error {
		all, err := s.statuses()
		for n, x := range all {
			if x.Version != v {
				err = errors.Join(err, fmt.Errorf("%s holds version %d instead of %d", n, x.Version, v))
			}
		}
		return err
	})
}

// checkCatalogues checks that every router has exactly the initial workspaces
// and those of the stored changes.
func (s *scenario) checkCatalogues(added []galenalatch.WorkspaceName, v galenalatch.Version) error {
	for _, r := range s.fleet.routers {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		c, err := client.New(r.Listen.Operator, tokens["GALENALATCH_OPERATOR_TOKEN"]).Catalogue(ctx)
		cancel()
		if err != nil {
			return err
		}
		if c.Version != v || len(c.Workspaces) != workspaceCount+len(added) {
			return fmt.Errorf("%s: version %d with %d workspaces, want %d with %d", r.ID, c.Version, len(c.Workspaces), v, workspaceCount+len(added))
		}
		have := make(map[galenalatch.WorkspaceName]bool)
		for _, w := range c.Workspaces {
			have[w.Name] = true
		}
		for _, w := range added {
			if !have[w] {
				return fmt.Errorf("%s lost the change of %s", r.ID, w)
			}
		}
	}
	return nil
}

// versionMonitor checks that no router's catalogue version decreases.
type versionMonitor struct {
	scenario *scenario
	stop     chan struct{}
	ended    chan struct{}
	err      error
}

func (w *versionMonitor) run() {
	defer close(w.ended)
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	newest := make(map[string]galenalatch.Version)
	for {
		select {
		case <-w.stop:
			return
		case <-tick.C:
		}
		all, err := w.scenario.statuses()
		if err != nil {
			continue
		}
		for n, v := range all {
			if v.Version < newest[n] {
				w.err = fmt.Errorf("the version of %s decreased from %d to %d", n, newest[n], v.Version)
			}
			newest[n] = max(newest[n], v.Version)
		}
	}
}

// churn kills and restarts randomly chosen routers one after the other:
// churn SEED COUNT PATTERN.
func (s *scenario) churn(ts *testscript.TestScript, args []string) error {
	if len(args) != 3 {
		return errors.New("usage: churn seed count pattern")
	}
	seed, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return err
	}
	count, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	names, err := s.names(args[2])
	if err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(seed, 0))
	for range count {
		n := names[random.IntN(len(names))]
		ts.Logf("killing %s", n)
		for _, step := range []func() error{
			func() error { return s.signal(ts, []string{"KILL", n}) },
			func() error { return s.start(ts, []string{n}) },
			func() error { return s.ready(ts, []string{n}) },
		} {
			if err := step(); err != nil {
				return err
			}
		}
	}
	return nil
}

// noRequests waits for DELAY and then checks that backend servers receive no
// request during DURATION: norequests DELAY DURATION PATTERN...
func (s *scenario) noRequests(_ *testscript.TestScript, args []string) error {
	after, rest, err := takeDuration(args)
	if err != nil {
		return err
	}
	length, patterns, err := takeDuration(rest)
	if err != nil {
		return err
	}
	names, err := s.names(patterns...)
	if err != nil {
		return err
	}
	<-time.After(after)
	before, err := s.receivedCounts(names)
	if err != nil {
		return err
	}
	<-time.After(length)
	now, err := s.receivedCounts(names)
	for n := range now {
		if now[n] != before[n] {
			err = errors.Join(err, fmt.Errorf("%s received %v new requests", n, now[n]-before[n]))
		}
	}
	return err
}

// receivedCounts returns the number of requests that each server has received.
func (s *scenario) receivedCounts(names []string) (map[string]float64, error) {
	counts := make(map[string]float64)
	for _, n := range names {
		v, err := s.document("stats", n)
		if err != nil {
			return nil, err
		}
		if counts[n], err = value(v, "received.*"); err != nil {
			return nil, err
		}
	}
	return counts, nil
}
