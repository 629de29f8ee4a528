package commands

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/operator/client"
	"github.com/galenalatch/galenalatch/internal/operator/status"
)

// printTable prints rows in aligned columns.
func (c *Commands) printTable(rows [][]any) error {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		for i, v := range r {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, v)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

func (c *Commands) printHistory(list []galenalatch.Change) error {
	rows := [][]any{{"VERSION", "AT", "AUTHOR", "ID", "CHANGE"}}
	for _, ch := range list {
		rows = append(rows, []any{ch.Version, ch.At.UTC().Format(time.RFC3339), ch.Author, ch.ID, summary(ch)})
	}
	return c.printTable(rows)
}

// summary describes a change in one line. It names at most four items.
func summary(ch galenalatch.Change) string {
	var parts []string
	for _, r := range changeRows(ch) {
		parts = append(parts, fmt.Sprintf("%s %s %s", r[0], r[1], r[2]))
	}
	const maxItems = 4
	if n := len(parts); n > maxItems {
		parts = append(parts[:maxItems], fmt.Sprintf("and %d more", n-maxItems))
	}
	return strings.Join(parts, ", ")
}

func (c *Commands) printChange(ch galenalatch.Change) error {
	rows := changeRows(ch)
	if len(rows) == 0 {
		_, err := fmt.Fprintln(c.out, "no difference")
		return err
	}
	return c.printTable(append([][]any{{"ACTION", "WHAT", "NAME"}}, rows...))
}

// changeRows returns a row with action, kind of item and name for each item of a
// change.
func changeRows(ch galenalatch.Change) [][]any {
	var rows [][]any
	add := func(action, what string, name any) { rows = append(rows, []any{action, what, name}) }
	for _, p := range ch.PutPools {
		add("put", "pool", p.Name)
	}
	for _, p := range ch.RemovePools {
		add("remove", "pool", p)
	}
	for _, w := range ch.PutWorkspaces {
		add("put", "workspace", w.Name)
	}
	for _, w := range ch.RemoveWorkspaces {
		add("remove", "workspace", w)
	}
	for _, e := range ch.PutEntries {
		add("put", "entry", fmt.Sprintf("%s/%s", e.Workspace, e.Class))
	}
	for _, e := range ch.RemoveEntries {
		add("remove", "entry", fmt.Sprintf("%s/%s", e.Workspace, e.Class))
	}
	for _, d := range ch.PutOut {
		add("out", "data centre", d)
	}
	for _, d := range ch.RemoveOut {
		add("in", "data centre", d)
	}
	for _, s := range ch.PutServersOut {
		add("out", "backend server", s)
	}
	for _, s := range ch.RemoveServersOut {
		add("in", "backend server", s)
	}
	if ch.DefaultLimits != nil {
		add("put", "defaultLimits", "")
	}
	return rows
}

// routerStatus is the status of one router, or the error of the request for it.
type routerStatus struct {
	Address string         `json:"address"`
	Status  *status.Status `json:"status,omitempty"`
	Error   string         `json:"error,omitempty"`
}

// run requests the status of one router.
func (a *routerStatus) run(ctx context.Context, cl *client.Client, done *sync.WaitGroup) {
	defer done.Done()
	s, err := cl.Status(ctx)
	if err != nil {
		a.Error = err.Error()
		return
	}
	a.Status = &s
}

// status requests the status of all routers and prints it in one table each for
// routers, cells, backend servers and workspaces.
func (c *Commands) status(ctx context.Context) error {
	list, err := c.clients()
	if err != nil {
		return err
	}
	results := make([]routerStatus, len(list))
	var done sync.WaitGroup
	for i, cl := range list {
		results[i].Address = cl.Address()
		done.Add(1)
		go results[i].run(ctx, cl, &done)
	}
	done.Wait()
	failed := 0
	for _, a := range results {
		if a.Error != "" {
			failed++
		}
	}
	if c.asJSON {
		err = c.printJSON(results)
	} else {
		err = c.printStatus(results)
	}
	if err == nil && failed > 0 {
		return fmt.Errorf("%d of %d routers gave no status", failed, len(results))
	}
	return err
}

func (c *Commands) printStatus(results []routerStatus) error {
	routers := [][]any{{"ROUTER", "DATA CENTRE", "START", "VERSION", "HELD", "FRESH", "READY", "CELLS", "WAITING", "RUNNING"}}
	cells := [][]any{{"CELL", "ROUTER", "EPOCH", "LAPSED", "WAITING", "RUNNING"}}
	servers := [][]any{{"SERVER", "POOL", "DATA CENTRE", "STATE", "RUNNING", "LIMIT"}}
	workspaces := [][]any{{"WORKSPACE", "WAITING", "RUNNING"}}
	waiting := make(map[galenalatch.WorkspaceName]int)
	running := make(map[galenalatch.WorkspaceName]int)
	for _, a := range results {
		if a.Status == nil {
			routers = append(routers, []any{a.Address, a.Error})
			continue
		}
		s := a.Status
		held := 0
		for _, v := range s.HeldVersions {
			if v >= s.Version {
				held++
			}
		}
		routers = append(routers, []any{s.Router, s.DataCentre, s.Start, s.Version, fmt.Sprintf("%d of %d", held, len(s.HeldVersions)),
			s.Fresh, s.Ready, len(s.Cells), sumValues(s.Waiting), sumValues(s.Running)})
		for _, x := range s.Cells {
			cells = append(cells, []any{x.Cell.String(), s.Router, x.Epoch, x.Lapsed, x.Waiting, x.Running})
		}
		for _, x := range s.Servers {
			servers = append(servers, []any{x.Server, x.Pool, x.DataCentre, x.State, x.Running, x.Limit})
		}
		for w, n := range s.Waiting {
			waiting[w] += n
		}
		for w, n := range s.Running {
			running[w] += n
		}
	}
	names := make(map[galenalatch.WorkspaceName]bool)
	for w := range waiting {
		names[w] = true
	}
	for w := range running {
		names[w] = true
	}
	for _, w := range slices.Sorted(maps.Keys(names)) {
		workspaces = append(workspaces, []any{w, waiting[w], running[w]})
	}
	for i, t := range [][][]any{routers, cells, servers, workspaces} {
		if len(t) == 1 {
			continue
		}
		if i > 0 {
			fmt.Fprintln(c.out)
			slices.SortStableFunc(t[1:], func(a, b []any) int { return cmp.Compare(fmt.Sprint(a[0]), fmt.Sprint(b[0])) })
		}
		if err := c.printTable(t); err != nil {
			return err
		}
	}
	return nil
}

func sumValues(m map[galenalatch.WorkspaceName]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}
