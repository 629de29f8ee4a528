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
	pollInterval   = 50 * time.Millisecond
	requestTimeout = 2 * time.Second
)

// poll calls f every pollInterval until it returns nil. After the timeout it
// returns f's last error.
func poll(timeout time.Duration, f func() error) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	expired := time.After(timeout)
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-tick.C:
		case <-expired:
			return fmt.Errorf("not within %v: %w", timeout, err)
		}
	}
}

// readyTimeout bounds the start of a fleet and single calls. It is longer than
// any start on a slow machine; the product guarantees no start time.
const readyTimeout = 30 * time.Second

// ready waits until the matching routers report ready. Other processes are
// skipped: ready PATTERN...
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
		if err := poll(readyTimeout, func() error {
			return get("http://"+r.Listen.Caller+"/readyz", "", nil)
		}); err != nil {
			return fmt.Errorf("%s: %w", n, err)
		}
	}
	return nil
}

// get decodes a JSON response into v, unless v is nil. A status other than 200
// is an error.
func get(url, token string, v any) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
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

// document returns the status of a router or the counters of a stand-in as
// decoded JSON. The source is "status" or "stats".
func (s *scenario) document(source, name string) (any, error) {
	var url, token string
	switch r, err := s.router(name); {
	case source == "status" && err == nil:
		url, token = "http://"+r.Listen.Operator+message.StatusPath, tokens["GALENALATCH_OPERATOR_TOKEN"]
	case source == "stats" && name == platformID:
		url, token = "http://"+s.fleet.standin.Platform.Listen+"/control/stats", tokens["GALENALATCH_PLATFORM_TOKEN"]
	case source == "stats":
		i, err := s.findInstance(name)
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

// value evaluates a path of names separated by dots on decoded JSON. In an
// object or array, * sums the values of all items, field=value sums those of
// the items with this field, and len counts the items. A missing value is 0, a
// bool is 0 or 1, and a string is 1 if the rest of the path equals it.
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
			// In an object of counters, a missing name counts as 0.
			return 0, nil
		}
		return aggregate(values, name, rest)
	case []any:
		return aggregate(x, name, rest)
	}
	return 0, fmt.Errorf("%v is not a number", v)
}

func notNumber(v any) bool {
	_, ok := v.(float64)
	return !ok
}

// aggregate evaluates an item of a path that applies to all values of a list:
// *, len or field=value.
func aggregate(list []any, name, rest string) (float64, error) {
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
	return 0, fmt.Errorf("no field %q", name)
}

var comparisons = map[string]func(a, b float64) bool{
	"==": func(a, b float64) bool { return a == b },
	"!=": func(a, b float64) bool { return a != b },
	">=": func(a, b float64) bool { return a >= b },
	"<=": func(a, b float64) bool { return a <= b },
}

// await waits until a condition holds for each matching process or, with the
// prefix sum:, for the sum of their values. Processes that have ended or are
// paused are skipped:
// await TIMEOUT status|stats [sum:]PATTERN PATH OPERATOR VALUE.
func (s *scenario) await(ts *testscript.TestScript, args []string) error {
	timeout, rest, err := takeDuration(args)
	if err != nil || len(rest) != 5 || comparisons[rest[3]] == nil {
		return fmt.Errorf("usage: await timeout status|stats [sum:]pattern path operator value")
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
	return poll(timeout, func() error {
		total := 0.0
		for _, n := range names {
			if p, ok := s.processes[n]; !ok || !p.canRun() {
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
			if total += got; !sum && !comparisons[rest[3]](got, want) {
				return fmt.Errorf("%s: %s is %v", n, rest[2], got)
			}
		}
		if sum && !comparisons[rest[3]](total, want) {
			return fmt.Errorf("sum of %s is %v", rest[2], total)
		}
		return nil
	})
}

// statuses returns the status of each running router by name. Routers that have
// ended or are paused are left out.
func (s *scenario) statuses() (map[string]status.Status, error) {
	all := make(map[string]status.Status)
	for _, r := range s.fleet.routers {
		if p, ok := s.processes[string(r.ID)]; !ok || !p.canRun() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		v, err := client.New(r.Listen.Operator, tokens["GALENALATCH_OPERATOR_TOKEN"]).Status(ctx)
		cancel()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", r.ID, err)
		}
		all[string(r.ID)] = v
	}
	return all, nil
}

// holder waits until a running router issues grants for a cell, and sets
// VARIABLE to the router's name and VARIABLE_OPERATOR to its operator address.
// With a pool name alone it chooses the cell with the most waiting and running
// requests:
// holder TIMEOUT POOL[/DATACENTRE/INDEX] VARIABLE [CELL-VARIABLE].
func (s *scenario) holder(ts *testscript.TestScript, args []string) error {
	timeout, rest, err := takeDuration(args)
	if err != nil || len(rest) < 2 {
		return fmt.Errorf("usage: holder timeout cell variable [cell-variable]")
	}
	return poll(timeout, func() error {
		all, err := s.statuses()
		if err != nil {
			return err
		}
		router, found, maxWork := "", "", -1
		for n, v := range all {
			for _, c := range v.Cells {
				id := c.Cell.String()
				work := c.Waiting + c.Running
				if c.Granting && work > maxWork && (id == rest[0] || c.Cell.Pool == galenalatch.PoolName(rest[0])) {
					router, found, maxWork = n, id, work
				}
			}
		}
		if router == "" {
			return fmt.Errorf("no running router issues grants for %s", rest[0])
		}
		ts.Setenv(rest[1], router)
		ts.Setenv(rest[1]+"_OPERATOR", s.fleet.operator(router))
		if len(rest) > 2 {
			ts.Setenv(rest[2], found)
		}
		return nil
	})
}

// nonHolder sets a variable to the name of a running router that holds no cell
// of a pool: nonholder POOL VARIABLE.
func (s *scenario) nonHolder(ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("usage: nonholder pool variable")
	}
	return poll(readyTimeout, func() error {
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
		return fmt.Errorf("every running router holds a cell of %s", args[0])
	})
}
