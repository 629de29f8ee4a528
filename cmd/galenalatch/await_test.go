//go:build linux

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/operator/client"
	"github.com/galenalatch/galenalatch/internal/operator/message"
	"github.com/galenalatch/galenalatch/internal/operator/status"
)

const (
	pollEvery  = 50 * time.Millisecond
	askTimeout = 2 * time.Second
)

// poll calls f until it returns nil and gives up after the bound with f's
// last error.
func poll(bound time.Duration, f func() error) error {
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	late := time.After(bound)
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-tick.C:
		case <-late:
			return fmt.Errorf("not within %v: %w", bound, err)
		}
	}
}

// readyBound is the time within which a started fleet serves requests. It is
// no promise of the product, only longer than any start on a slow machine.
const readyBound = 30 * time.Second

// ready waits until routers are ready and stand-ins answer: ready PATTERN...
func (s *scenario) ready(_ *testscript.TestScript, args []string) error {
	names, err := s.names(args...)
	if err != nil {
		return err
	}
	for _, n := range names {
		r, err := s.router(n)
		if err != nil {
			continue
		}
		if err := poll(readyBound, func() error {
			return get("http://"+r.Listen.Caller+"/readyz", "", nil)
		}); err != nil {
			return fmt.Errorf("%s: %w", n, err)
		}
	}
	return nil
}

// get reads a JSON document into v unless v is nil.
func get(url, token string, v any) error {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	if v == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// document reads the status of a router or the counts of a stand-in.
func (s *scenario) document(source, name string) (any, error) {
	var url, token string
	switch r, err := s.router(name); {
	case source == "status" && err == nil:
		url, token = "http://"+r.Listen.Operator+message.StatusPath, tokens["GALENALATCH_OPERATOR_TOKEN"]
	case source == "stats" && name == platformID:
		url, token = "http://"+s.fleet.standin.Platform.Listen+"/control/stats", tokens["GALENALATCH_PLATFORM_TOKEN"]
	case source == "stats":
		i, err := s.server(name)
		if err != nil {
			return nil, err
		}
		url = "http://" + i.Address + "/control/stats"
	default:
		return nil, fmt.Errorf("no %s of %s", source, name)
	}
	var v any
	return v, get(url, token, &v)
}

// value follows a path of names separated by dots. The name * adds up the
// values of all items, field=value those of the items with this field; len
// counts the items. A text has the value 1 when the path ends with it.
func value(v any, path string) (float64, error) {
	name, rest, _ := strings.Cut(path, ".")
	switch x := v.(type) {
	case nil:
		return 0, nil
	case bool:
		if x {
			return 1, nil
		}
		return 0, nil
	case string:
		return value(x == path, "")
	case float64:
		return x, nil
	case map[string]any:
		if item, ok := x[name]; ok {
			return value(item, rest)
		}
		values := slices.Collect(maps.Values(x))
		if name != "*" && name != "len" && !slices.ContainsFunc(values, notNumber) {
			// A map from names to counts.
			return 0, nil
		}
		return items(values, name, rest)
	case []any:
		return items(x, name, rest)
	}
	return 0, fmt.Errorf("%v is no number", v)
}

func notNumber(v any) bool {
	_, ok := v.(float64)
	return !ok
}

func items(list []any, name, rest string) (float64, error) {
	field, want, filtered := strings.Cut(name, "=")
	if filtered {
		list = slices.DeleteFunc(slices.Clone(list), func(v any) bool {
			m, ok := v.(map[string]any)
			return !ok || m[field] != want
		})
		name = "*"
	}
	switch name {
	case "len":
		return float64(len(list)), nil
	case "*":
		total := 0.0
		for _, v := range list {
			n, err := value(v, rest)
			if err != nil {
				return 0, err
			}
			total += n
		}
		return total, nil
	}
	return 0, fmt.Errorf("there is no %q", name)
}

var compare = map[string]func(a, b float64) bool{
	"==": func(a, b float64) bool { return a == b },
	"!=": func(a, b float64) bool { return a != b },
	">=": func(a, b float64) bool { return a >= b },
	"<=": func(a, b float64) bool { return a <= b },
}

// await waits until a condition holds for every process that matches, or for
// their sum: await BOUND status|stats [sum:]PATTERN PATH OPERATOR VALUE.
// Processes that do not run are left out.
func (s *scenario) await(ts *testscript.TestScript, args []string) error {
	bound, rest, err := withBound(args)
	if err != nil || len(rest) != 5 || compare[rest[3]] == nil {
		return fmt.Errorf("usage: await bound status|stats [sum:]pattern path operator value")
	}
	want, err := strconv.ParseFloat(rest[4], 64)
	if err != nil {
		return err
	}
	pattern, sum := strings.CutPrefix(rest[1], "sum:")
	names, err := s.names(pattern)
	if err != nil {
		return err
	}
	return poll(bound, func() error {
		total := 0.0
		for _, n := range names {
			if p, ok := s.processes[n]; !ok || !p.runs() {
				continue
			}
			v, err := s.document(rest[0], n)
			if err != nil {
				return fmt.Errorf("%s: %w", n, err)
			}
			got, err := value(v, rest[2])
			if err != nil {
				return fmt.Errorf("%s: %w", n, err)
			}
			if total += got; !sum && !compare[rest[3]](got, want) {
				return fmt.Errorf("%s: %s is %v", n, rest[2], got)
			}
		}
		if sum && !compare[rest[3]](total, want) {
			return fmt.Errorf("sum of %s is %v", rest[2], total)
		}
		return nil
	})
}

// statuses returns the status of each router that runs.
func (s *scenario) statuses() (map[string]status.Status, error) {
	all := make(map[string]status.Status)
	for _, r := range s.fleet.routers {
		if p, ok := s.processes[string(r.ID)]; !ok || !p.runs() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		v, err := client.New(r.Listen.Operator, tokens["GALENALATCH_OPERATOR_TOKEN"]).Status(ctx)
		cancel()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", r.ID, err)
		}
		all[string(r.ID)] = v
	}
	return all, nil
}

// holder waits until a running router grants in a cell, and sets a variable
// to its name: holder BOUND POOL[/DATACENTRE/INDEX] VARIABLE [CELL-VARIABLE].
// With a pool it takes the cell with the most requests. VARIABLE_OPERATOR is
// the router's address for operators.
func (s *scenario) holder(ts *testscript.TestScript, args []string) error {
	bound, rest, err := withBound(args)
	if err != nil || len(rest) < 2 {
		return fmt.Errorf("usage: holder bound cell variable [cell-variable]")
	}
	return poll(bound, func() error {
		all, err := s.statuses()
		if err != nil {
			return err
		}
		router, found, most := "", "", -1
		for n, v := range all {
			for _, c := range v.Cells {
				id := c.Cell.String()
				work := c.Waiting + c.Running
				if c.Granting && work > most && (id == rest[0] || c.Cell.Pool == galenalatch.PoolName(rest[0])) {
					router, found, most = n, id, work
				}
			}
		}
		if router == "" {
			return fmt.Errorf("no running router grants in %s", rest[0])
		}
		ts.Setenv(rest[1], router)
		ts.Setenv(rest[1]+"_OPERATOR", s.fleet.operator(router))
		if len(rest) > 2 {
			ts.Setenv(rest[2], found)
		}
		return nil
	})
}

// idle sets a variable to a running router without a cell of a pool:
// idle POOL VARIABLE.
func (s *scenario) idle(ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("usage: idle pool variable")
	}
	return poll(readyBound, func() error {
		all, err := s.statuses()
		if err != nil {
			return err
		}
		for n, v := range all {
			if !slices.ContainsFunc(v.Cells, func(c status.Cell) bool { return string(c.Cell.Pool) == args[0] }) {
				ts.Setenv(args[1], n)
				return nil
			}
		}
		return fmt.Errorf("each router holds a cell of %s", args[0])
	})
}
