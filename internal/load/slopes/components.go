package slopes

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/auth"
	"github.com/galenalatch/galenalatch/internal/decide/cell"
	"github.com/galenalatch/galenalatch/internal/decide/directory"
	"github.com/galenalatch/galenalatch/internal/peer/wire"
	"github.com/galenalatch/galenalatch/internal/platform/catalogue"
)

// measureBacklog measures one cell with a backlog of two requests for each
// workspace: its state and the processor time of a request from Enqueue to
// Finish.
func measureBacklog(_ context.Context, _ *Measurement) ([]Point, error) {
	var points []Point
	for _, n := range []int{500, 1000, 2000, 4000} {
		before := liveBytes()
		c, now := newBacklogCell(n)
		state := liveBytes() - before
		began := cpuTime()
		done := 0
		for i := range 20_000 {
			now = now.Add(time.Millisecond)
			if i%500 == 0 {
				c.SetLoad(now, "s", now, galenalatch.LoadReport{Boot: "b"}, nil)
			}
			w := waitingRequest(1_000_000+i, i%n)
			c.Handle(now, "r", galenalatch.Enqueue{Cell: cellID, Waiting: w})
			for _, o := range c.Tick(now) {
				g, ok := o.Message.(galenalatch.Grant)
				if !ok || g.StatusQuery {
					continue
				}
				done++
				c.Handle(now, "r", galenalatch.Finish{
					Cell: cellID, Request: g.Request, Serial: g.Serial, Units: 400, Outcome: galenalatch.Answered, Completed: true,
				})
			}
		}
		used := cpuTime() - began
		if done < 10_000 {
			return nil, fmt.Errorf("%d requests were granted, at least 10000 expected", done)
		}
		points = append(points, Point{float64(n), map[string]float64{
			"state B": state, "cpu us/request": float64(used.Microseconds()) / float64(done),
		}})
		runtime.KeepAlive(c)
	}
	return points, nil
}

var cellID = galenalatch.CellID{Pool: "p", DataCentre: "d"}

func waitingRequest(id, workspace int) galenalatch.Waiting {
	return galenalatch.Waiting{
		Request:   galenalatch.RequestID(fmt.Sprintf("00000000-0000-4000-8000-%012d", id)),
		Workspace: galenalatch.WorkspaceName(fmt.Sprintf("workspace-%05d", workspace)),
		Class:     galenalatch.Interactive, Estimate: 400, Bytes: 1000,
	}
}

// newBacklogCell returns a cell with one cold server and two waiting requests of
// each of n workspaces, and the time of the last call.
func newBacklogCell(n int) (*cell.Cell, time.Time) {
	now := time.Now()
	pool := galenalatch.Pool{Name: "p", Kind: galenalatch.ModelPool, ColdLimit: 1, WarmLimit: 1, CellsPerDataCentre: 1, PromptWeight: 1, OutputWeight: 1, MaxCost: 2048}
	c := cell.New(cell.Config{ID: cellID, Router: "r", Epoch: 1, Pool: pool, Start: now, PredecessorReleased: true})
	c.SetCatalogue(now, galenalatch.Catalogue{
		Version: 1, Pools: []galenalatch.Pool{pool},
		DefaultLimits: galenalatch.Entry{Weight: 1, MaxWaiting: 100_000, MaxWaitingBytes: 1 << 30, MaxRunning: 64},
	})
	c.SetServers(now, []galenalatch.Instance{{ID: "s", Role: galenalatch.ServerRole, Address: "s", DataCentre: "d", Pool: "p"}})
	c.SetRouters(now, []galenalatch.RouterID{"r"})
	c.RouterConnected(now, "r", "start")
	c.SetLease(now.Add(time.Hour), false)
	now = now.Add(5 * time.Second)
	c.SetLoad(now, "s", now, galenalatch.LoadReport{Boot: "b"}, nil)
	for i := range 2 * n {
		c.Handle(now, "r", galenalatch.Enqueue{Cell: cellID, Waiting: waitingRequest(i, i%n)})
	}
	return c, now
}

// measureProgress measures the encoded size of a progress message.
func measureProgress(_ context.Context, _ *Measurement) ([]Point, error) {
	c, err := wire.New()
	if err != nil {
		return nil, err
	}
	var points []Point
	for _, n := range []int{1, 4, 16, 64} {
		m := galenalatch.Progress{Cell: galenalatch.CellID{Pool: poolName(0), DataCentre: "a"}}
		for i := range n {
			m.Used = append(m.Used, galenalatch.Used{Serial: 1<<32 + uint64(i), Units: 1000})
		}
		b, err := c.Encode(m)
		if err != nil {
			return nil, err
		}
		points = append(points, Point{float64(n), map[string]float64{"B": float64(len(c.AppendFrame(nil, [][]byte{b})))}})
	}
	return points, nil
}

// measureWorkspaces measures the state that a router holds for a catalogue with
// one key and one entry for each workspace, and the processor time of one change.
func measureWorkspaces(_ context.Context, _ *Measurement) ([]Point, error) {
	var points []Point
	for _, n := range []int{1000, 2000, 4000, 8000} {
		p, err := measureCatalogue(n)
		if err != nil {
			return nil, err
		}
		points = append(points, p)
	}
	return points, nil
}

// measuredChanges is the number of changes over which the processor time of one
// change is averaged.
const measuredChanges = 50

func measureCatalogue(n int) (Point, error) {
	encoded, err := json.Marshal(struct {
		Part  int `json:"part"`
		Parts int `json:"parts"`
		galenalatch.Change
	}{1, 1, galenalatch.Diff(galenalatch.Catalogue{}, largeCatalogue(n))})
	if err != nil {
		return Point{}, err
	}
	before := liveBytes()
	var dir *directory.Directory
	list := instancesWithoutAddress(50)
	s := catalogue.New(nil, nil, catalogue.WithNotify(func(c galenalatch.Catalogue) {
		if dir == nil {
			dir = directory.New(c, list)
			return
		}
		dir = dir.WithCatalogue(c)
	}))
	keys := auth.New(s.Current)
	if _, err := s.ApplyEncoded([][]byte{encoded}); err != nil {
		return Point{}, err
	}
	q, err := http.NewRequest(http.MethodGet, "http://router.invalid", nil)
	if err != nil {
		return Point{}, err
	}
	q.Header.Set("Authorization", "Bearer "+workspaceKey(1))
	if _, err := keys.Workspace(q); err != nil {
		return Point{}, err
	}
	state := liveBytes() - before
	began := cpuTime()
	for i := range measuredChanges {
		ch := galenalatch.Change{
			Version: galenalatch.Version(i + 2), ID: fmt.Sprint("change-", i),
			PutEntries: []galenalatch.Entry{limitsEntry(i, 2)},
		}
		data, err := json.Marshal(ch)
		if err != nil {
			return Point{}, err
		}
		if _, err := s.ApplyEncoded([][]byte{data}); err != nil {
			return Point{}, err
		}
		if _, err := keys.Workspace(q); err != nil {
			return Point{}, err
		}
	}
	used := cpuTime() - began
	if v := s.Current().Version; v != measuredChanges+1 {
		return Point{}, fmt.Errorf("the catalogue has version %d after %d changes", v, measuredChanges)
	}
	// The bytes of encoded are part of both measurements. If they were freed in
	// between, they would be subtracted from the state.
	runtime.KeepAlive(encoded)
	runtime.KeepAlive(dir)
	runtime.KeepAlive(keys)
	return Point{float64(n), map[string]float64{
		"state B": state, "cpu us/change": float64(used.Microseconds()) / measuredChanges, "snapshot B": float64(len(encoded)),
	}}, nil
}

func workspaceKey(i int) string { return fmt.Sprintf("key-of-workspace-%05d", i) }

func limitsEntry(i, weight int) galenalatch.Entry {
	return galenalatch.Entry{
		Workspace: galenalatch.WorkspaceName(fmt.Sprintf("workspace-%05d", i)), Class: galenalatch.Interactive,
		Weight: int64(weight), MaxWaiting: 100, MaxWaitingBytes: 8 << 20, MaxRunning: 64,
	}
}

func largeCatalogue(n int) galenalatch.Catalogue {
	c := galenalatch.Catalogue{Version: 1, Pools: pools(27), DefaultLimits: limitsEntry(0, 1)}
	for i := range n {
		sum := sha256.Sum256([]byte(workspaceKey(i)))
		e := limitsEntry(i, 1)
		c.Workspaces = append(c.Workspaces, galenalatch.Workspace{Name: e.Workspace, KeyHashes: []string{hex.EncodeToString(sum[:])}})
		c.Entries = append(c.Entries, e)
	}
	return c
}

// instancesWithoutAddress returns n routers and n backend servers without addresses.
func instancesWithoutAddress(n int) []galenalatch.Instance {
	var all []galenalatch.Instance
	for i := range n {
		dc := dataCentres[i%len(dataCentres)]
		all = append(all,
			galenalatch.Instance{ID: fmt.Sprint("router-", i), Role: galenalatch.RouterRole, DataCentre: dc},
			galenalatch.Instance{ID: fmt.Sprint("server-", i), Role: galenalatch.ServerRole, DataCentre: dc, Pool: poolName(i % 27)})
	}
	return all
}
