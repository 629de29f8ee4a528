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

// table prints rows of cells.
func (c *Commands) table(rows [][]any) error {
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
	return c.table(rows)
}

// summary words a change in one line.
func summary(ch galenalatch.Change) string {
	var parts []string
	for _, r := range changeRows(ch) {
		parts = append(parts, fmt.Sprintf("%s %s %s", r[0], r[1], r[2]))
	}
	const most = 4
	if n := len(parts); n > most {
		parts = append(parts[:most], fmt.Sprintf("and %d more", n-most))
	}
	return strings.Join(parts, ", ")
}

func (c *Commands) printChange(ch galenalatch.Change) error {
	rows := changeRows(ch)
	if len(rows) == 0 {
		_, err := fmt.Fprintln(c.out, "no difference")
		return err
	}
	return c.table(append([][]any{{"ACTION", "WHAT", "NAME"}}, rows...))
}

// changeRows returns action, what and name for each item of a change.
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

// answer is the status of one router, or why there is none.
type answer struct {
	Address string         `json:"address"`
	Status  *status.Status `json:"status,omitempty"`
	Error   string         `json:"error,omitempty"`
}

// run asks one router.
func (a *answer) run(ctx context.Context, cl *client.Client, done *sync.WaitGroup) {
	defer done.Done()
	s, err := cl.Status(ctx)
	if err != nil {
		a.Error = err.Error()
		return
	}
	a.Status = &s
}

// status asks all routers and prints one table of each kind.
func (c *Commands) status(ctx context.Context) error {
	list, err := c.clients()
	if err != nil {
		return err
	}
	answers := make([]answer, len(list))
	var done sync.WaitGroup
	for i, cl := range list {
		answers[i].Address = cl.Address()
		done.Add(1)
		go answers[i].run(ctx, cl, &done)
	}
	done.Wait()
	failed := 0
	for _, a := range answers {
		if a.Error != "" {
			failed++
		}
	}
	if c.asJSON {
		err = c.printJSON(answers)
	} else {
		err = c.printStatus(answers)
	}
	if err == nil && failed > 0 {
		return fmt.Errorf("%d of %d routers gave no status", failed, len(answers))
	}
	return err
}

func (c *Commands) printStatus(answers []answer) error {
	routers := [][]any{{"ROUTER", "DATA CENTRE", "START", "VERSION", "HELD", "FRESH", "READY", "CELLS", "WAITING", "RUNNING"}}
	cells := [][]any{{"CELL", "ROUTER", "EPOCH", "LAPSED", "WAITING", "RUNNING"}}
	servers := [][]any{{"SERVER", "POOL", "DATA CENTRE", "STATE", "RUNNING", "LIMIT"}}
	workspaces := [][]any{{"WORKSPACE", "WAITING", "RUNNING"}}
	waiting := make(map[galenalatch.WorkspaceName]int)
	running := make(map[galenalatch.WorkspaceName]int)
	for _, a := range answers {
		if a.Status == nil {
			routers = append(routers, []any{a.Address, a.Error})
			continue
		}
		s := a.Status
		held := 0
		for _, v := range s.Held {
			if v >= s.Version {
				held++
			}
		}
		routers = append(routers, []any{s.Router, s.DataCentre, s.Start, s.Version, fmt.Sprintf("%d of %d", held, len(s.Held)),
			s.Fresh, s.Ready, len(s.Cells), total(s.Waiting), total(s.Running)})
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
		if err := c.table(t); err != nil {
			return err
		}
	}
	return nil
}

func total(m map[galenalatch.WorkspaceName]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}
