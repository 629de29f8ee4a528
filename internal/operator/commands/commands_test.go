package commands_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/auth"
	"github.com/galenalatch/galenalatch/internal/operator/api"
	"github.com/galenalatch/galenalatch/internal/operator/client"
	"github.com/galenalatch/galenalatch/internal/operator/commands"
	"github.com/galenalatch/galenalatch/internal/operator/message"
	"github.com/galenalatch/galenalatch/internal/operator/status"
)

const token = "a-token-of-the-operators"

// store is an api.Store in memory. It applies only the fields of a change that
// take data centres and backend servers out of service or back in.
type store struct {
	mu       sync.Mutex
	current  galenalatch.Catalogue
	changes  []galenalatch.Change
	applyErr error
	// concurrentChanges is the number of calls of Apply before which the store
	// makes another version, as if another operator had changed the catalogue.
	concurrentChanges int
}

func (s *store) Current() galenalatch.Catalogue {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *store) History(_ context.Context, n int) ([]galenalatch.Change, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []galenalatch.Change
	for i := len(s.changes) - 1; i >= 0 && len(list) < n; i-- {
		list = append(list, s.changes[i])
	}
	return list, nil
}

func (s *store) Apply(_ context.Context, base galenalatch.Version, ch galenalatch.Change) (galenalatch.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.applyErr != nil {
		return 0, s.applyErr
	}
	if s.concurrentChanges > 0 {
		s.concurrentChanges--
		s.current.Version++
	}
	if base != s.current.Version {
		return 0, galenalatch.KindConflict.Errorf("the change is based on version %d", base)
	}
	c := s.current.WithVersion(base + 1)
	for _, d := range ch.PutOut {
		c = c.WithDataCentre(d, true)
	}
	for _, d := range ch.RemoveOut {
		c = c.WithDataCentre(d, false)
	}
	for _, x := range ch.PutServersOut {
		c = c.WithServer(x, true)
	}
	for _, x := range ch.RemoveServersOut {
		c = c.WithServer(x, false)
	}
	ch.Version, ch.At = c.Version, time.Date(2026, 3, 1, 8, 0, int(c.Version), 0, time.UTC)
	s.current, s.changes = c, append(s.changes, ch)
	return c.Version, nil
}

func diff(from, to galenalatch.Catalogue) galenalatch.Change {
	var ch galenalatch.Change
	if len(to.OutOfService) > len(from.OutOfService) {
		ch.PutOut = to.OutOfService
	}
	return ch
}

// router serves the operators' API of one router.
type router struct {
	store *store
	held  int
	*httptest.Server
}

func startRouter(t *testing.T) *router {
	r := &router{store: &store{}, held: 5}
	h := api.New(r.store, api.Fleet{
		Status: func() status.Status {
			return status.Status{
				Router: "r1", Start: "s-1", DataCentre: "a", Version: 7, Fresh: true, Ready: true,
				HeldVersions: map[galenalatch.RouterID]galenalatch.Version{"r1": 7, "r2": 6, "r3": 8},
				Cells:        []status.Cell{{Cell: galenalatch.CellID{Pool: "p", DataCentre: "a"}, Epoch: 3, Waiting: 4, Running: 2}},
				Servers:      []status.Server{{Server: "s2", Pool: "p", DataCentre: "a", State: "cold", Limit: 2}, {Server: "s1", Pool: "p", DataCentre: "a", State: "warm", Limit: 8, Running: 2}},
				Waiting:      map[galenalatch.WorkspaceName]int{"graz": 3, "linz": 1},
				Running:      map[galenalatch.WorkspaceName]int{"graz": 2},
			}
		},
		CountHolders: func(galenalatch.Version) (int, int) { return r.held, 8 },
		Instances: func() []galenalatch.Instance {
			return []galenalatch.Instance{{ID: "s1", Role: "server", DataCentre: "a"}}
		},
	}, diff, auth.TokenCheck(token), api.WithAcceptTimeout(100*time.Millisecond))
	r.Server = httptest.NewServer(h)
	t.Cleanup(r.Close)
	return r
}

func (r *router) address() string { return strings.TrimPrefix(r.URL, "http://") }

// run runs a command and returns its output and error. Placeholders replace the
// address of the router and the ids of changes.
func (r *router) run(t *testing.T, args ...string) string {
	t.Setenv("GALENALATCH_OPERATOR_TOKEN", token)
	var out bytes.Buffer
	app := kingpin.New("galenalatch", "")
	app.Terminate(func(int) {})
	app.UsageWriter(io.Discard)
	commands.Register(app, &out)
	_, err := app.Parse(append(args, "--router", r.address()))
	text := out.String()
	if err != nil {
		text += "error: " + err.Error() + "\n"
	}
	for _, ch := range r.store.changes {
		text = strings.ReplaceAll(text, ch.ID, "<id>")
	}
	return strings.ReplaceAll(text, r.address(), "<router>")
}

// Guards against changed output or errors of the commands, which operators'
// scripts use, and against a refused command that changes the catalogue.
func TestCommands(t *testing.T) {
	r := startRouter(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	change := write("change.json", `{"putServersOut": ["s7"]}`)
	whole := write("whole.json", `{"version": 0, "pools": [], "workspaces": [], "entries": [], "outOfService": ["a", "b"], "serversOut": [], "defaultLimits": {}}`)
	misspelt := write("misspelt.json", `{"putServerOut": ["s7"]}`)
	empty := write("none.json", `{}`)
	var b strings.Builder
	record := func(args ...string) {
		text := strings.ReplaceAll(r.run(t, args...), dir, "<dir>")
		fmt.Fprintf(&b, "$ %s\n%s", strings.ReplaceAll(strings.Join(args, " "), dir, "<dir>"), text)
		assert.Assert(t, !strings.Contains(text, token))
	}
	record("datacentre", "out", "a", "--author", "mila")
	record("datacentre", "out", "typo", "--author", "mila")
	record("datacentre", "out", "typo", "--author", "mila", "--force")
	record("datacentre", "in", "typo", "--author", "mila", "--json")
	record("server", "out", "s1", "--author", "mila")
	record("server", "out", "s9", "--author", "mila")
	record("server", "in", "s1", "--author", "")
	record("catalogue", "apply", change, "--author", "mila")
	record("catalogue", "apply", change, "--author", "mila", "--base", "1")
	record("catalogue", "apply", misspelt, "--author", "mila")
	record("catalogue", "apply", empty, "--author", "mila")
	record("catalogue", "apply", "<dir>/missing.json", "--author", "mila")
	record("catalogue", "diff", whole)
	record("catalogue", "diff", whole, "--json")
	record("catalogue", "apply", whole, "--whole", "--author", "mila")
	record("catalogue", "apply", whole, "--whole", "--author", "mila", "--base", "5")
	record("catalogue", "history", "-n", "3")
	record("catalogue", "history", "-n", "0")
	record("catalogue", "get")
	record("status")
	r.held = 4
	record("datacentre", "in", "a", "--author", "mila")
	r.store.applyErr = galenalatch.KindPlatformDown.Errorf("the platform does not answer")
	record("datacentre", "out", "a", "--author", "mila")
	r.store.applyErr = galenalatch.KindInvalidCatalogue.Errorf("pools[0] (m).coldLimit: 0 is not allowed; allowed: 1 to 1000")
	record("catalogue", "apply", change, "--author", "mila")
	golden.Assert(t, b.String(), "commands.golden")
}

// Guards against a command that fails although only the first router cannot be
// reached, and against a status that does not report such a router.
func TestUnreachableRouter(t *testing.T) {
	r, closed := startRouter(t), startRouter(t)
	closed.Close()
	for args, want := range map[string]string{
		"catalogue get": `"version": 0`,
		"status":        "1 of 2 routers gave no status",
	} {
		got := r.run(t, append(strings.Fields(args), "--router", closed.address())...)
		assert.Assert(t, strings.Contains(got, want), got)
	}
	other := startRouter(t)
	other.Config.Handler = http.NotFoundHandler()
	assert.Assert(t, strings.Contains(other.run(t, "catalogue", "get"), "404 Not Found"))
}

// Guards against a command that waits its whole timeout for a router that
// accepts connections and does not respond, such as a suspended process, and
// against sending it a change that it could apply when it resumes.
func TestRouterHangs(t *testing.T) {
	r := startRouter(t)
	var changes atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	hanging := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		if q.Method != http.MethodGet {
			changes.Add(1)
		}
		<-ctx.Done()
	}))
	t.Cleanup(hanging.Close)
	t.Cleanup(cancel)
	for args, want := range map[string]string{
		"server out s1 --author mila --timeout 5s": "version 1 accepted",
		"catalogue get --timeout 5s":               `"version":`,
	} {
		got := r.run(t, append(strings.Fields(args), "--router", strings.TrimPrefix(hanging.URL, "http://"))...)
		assert.Assert(t, strings.Contains(got, want), got)
	}
	assert.Equal(t, changes.Load(), int64(0))
}

// operator applies one change based on version 0.
type operator struct {
	client  *client.Client
	name    string
	results chan<- error
}

func (o operator) run(ctx context.Context) {
	_, err := o.client.Apply(ctx, 0, galenalatch.Change{Author: o.name, PutServersOut: []galenalatch.ServerID{galenalatch.ServerID(o.name)}})
	o.results <- err
}

// Guards against two accepted changes based on one version. Of operators that
// apply changes at the same time one succeeds, the others receive a conflict
// with the current version.
func TestConcurrentApplyConflicts(t *testing.T) {
	r := startRouter(t)
	const n = 8
	results := make(chan error, n)
	for i := range n {
		go operator{client.New(r.URL, token), fmt.Sprint("s", i), results}.run(t.Context())
	}
	conflicts := 0
	for range n {
		if err := <-results; err != nil {
			assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindConflict)
			assert.Equal(t, galenalatch.OutcomeOf(err), galenalatch.NotRun)
			assert.ErrorContains(t, err, "current version 1")
			conflicts++
		}
	}
	assert.Equal(t, conflicts, n-1)
	assert.Equal(t, len(r.store.Current().ServersOut), 1)
}

// Guards against an urgent change of service that fails because others change
// the catalogue at the same time, and against endless retries of it.
func TestServiceChangeRetriesConflicts(t *testing.T) {
	r := startRouter(t)
	c := client.New(r.URL, token)
	r.store.concurrentChanges = 3
	res, err := c.SetDataCentreService(t.Context(), "a", true, message.ServiceRequest{Author: "mila"})
	assert.NilError(t, err)
	assert.Equal(t, res.Version, galenalatch.Version(4))
	r.store.concurrentChanges = 1000
	_, err = c.SetDataCentreService(t.Context(), "a", false, message.ServiceRequest{Author: "mila"})
	assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindConflict)
	assert.DeepEqual(t, r.store.Current().OutOfService, []galenalatch.DataCentre{"a"})
}

// Guards against bad requests that change the catalogue, and against access
// without the token.
func TestBadRequests(t *testing.T) {
	r := startRouter(t)
	var b strings.Builder
	for _, c := range []struct{ token, method, path, body string }{
		{"", "GET", "/operator/v1/catalogue", ""},
		{token + "x", "POST", "/operator/v1/datacentres/a/out", `{"author": "mila"}`},
		{token, "GET", "/operator/v1/nothing", ""},
		{token, "DELETE", "/operator/v1/catalogue", ""},
		{token, "GET", "/operator/v1/catalogue/changes?n=many", ""},
		{token, "POST", "/operator/v1/catalogue/changes", ``},
		{token, "POST", "/operator/v1/catalogue/changes", `{"change": {"author": "mila", "putOut": ["a"]}}`},
		{token, "POST", "/operator/v1/catalogue/changes", `{"base": -1, "change": {"author": "mila", "putOut": ["a"]}}`},
		{token, "POST", "/operator/v1/catalogue/changes", `{"base": 0, "change": {"author": "mila"}}`},
		{token, "POST", "/operator/v1/catalogue/changes", `{"base": 0, "change": {"putOut": ["a"]}}`},
		{token, "POST", "/operator/v1/catalogue/changes", `{"base": 0, "change": {"author": "mila", "putOut": ["a"]}} {}`},
		{token, "POST", "/operator/v1/catalogue/changes", `{"base": 0, "base": 1, "change": {"author": "mila", "putOut": ["a"]}}`},
		{token, "POST", "/operator/v1/catalogue/changes", `{"base": 0, "change": {"author": "mila", "putOut": "a"}}`},
		{token, "POST", "/operator/v1/datacentres/a/away", `{"author": "mila"}`},
		{token, "POST", "/operator/v1/datacentres/a%0Ab/out", `{"author": "mila"}`},
		{token, "POST", "/operator/v1/servers/s1/out", `{"author": "mila\u0000"}`},
		{token, "POST", "/operator/v1/servers/s1/out", `{"author": "mila", "id": "` + strings.Repeat("x", 65) + `"}`},
		{token, "POST", "/operator/v1/catalogue/diff", `{"pool": []}`},
	} {
		q, err := http.NewRequest(c.method, r.URL+c.path, strings.NewReader(c.body))
		assert.NilError(t, err)
		if c.token != "" {
			q.Header.Set("Authorization", "Bearer "+c.token)
		}
		resp, err := http.DefaultClient.Do(q)
		assert.NilError(t, err)
		var f message.ErrorResponse
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&f), c.path)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, f.Error.Outcome, galenalatch.NotRun)
		assert.Assert(t, !strings.Contains(f.Error.Message, token))
		fmt.Fprintf(&b, "%s %s %.70s: %d %s %s\n", c.method, c.path, c.body, resp.StatusCode, f.Error.Kind, f.Error.Message)
	}
	golden.Assert(t, b.String(), "bad.golden")
	assert.Equal(t, r.store.Current().Version, galenalatch.Version(0))
}
