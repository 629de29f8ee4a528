package platform_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/platform/httpclient"
	"github.com/galenalatch/galenalatch/internal/platform/instances"
	"github.com/galenalatch/galenalatch/internal/platform/object"
	"github.com/galenalatch/galenalatch/internal/platform/table"
	"github.com/galenalatch/galenalatch/internal/standin/platform"
)

func newCaller(t *testing.T, s *platform.Server) *httpclient.Client {
	t.Helper()
	c, err := httpclient.New("http://platform", httpclient.WithTransport(s.Transport()), httpclient.WithToken("secret"))
	assert.NilError(t, err)
	return c
}

func send(s http.Handler, method, path, body string, header ...string) (int, string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer secret")
	for i := 0; i < len(header); i += 2 {
		r.Header.Add(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	data, _ := io.ReadAll(w.Result().Body)
	return w.Code, string(data)
}

// TestConditionalRequests guards against a server that ignores preconditions of
// RFC 9110 or returns the wrong status for them.
func TestConditionalRequests(t *testing.T) {
	s := platform.New(platform.WithToken("secret"))
	for _, tt := range []struct {
		method, path string
		header       []string
		want         int
	}{
		{"GET", "/table/k", nil, 404},
		{"PUT", "/table/k", []string{"If-Match", "*"}, 412},
		{"DELETE", "/table/k", nil, 404},
		{"PUT", "/table/k", []string{"If-None-Match", "*"}, 201},
		{"PUT", "/table/k", []string{"If-None-Match", "*"}, 412},
		{"PUT", "/table/k", []string{"If-None-Match", `"1"`}, 412},
		{"GET", "/table/k", []string{"If-None-Match", `W/"1"`}, 304},
		{"PUT", "/table/k", []string{"If-Match", `W/"1"`}, 412},
		{"PUT", "/table/k", []string{"If-Match", `"7", "1"`}, 204},
		{"PUT", "/table/k", []string{"If-Match", `"1"`}, 412},
		{"DELETE", "/table/k", []string{"If-Match", `"2"`}, 204},
		{"POST", "/table/k", nil, 405},
		{"POST", "/batch", nil, 400},
		{"GET", "/other", nil, 404},
	} {
		got, _ := send(s, tt.method, tt.path, "", tt.header...)
		assert.Equal(t, got, tt.want, "%s %s %v", tt.method, tt.path, tt.header)
	}
	got, _ := send(s, "GET", "/table/k", "", "Authorization", "x")
	assert.Equal(t, got, 404)
	r := httptest.NewRequest("GET", "/table/k", nil)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusUnauthorized)
}

// TestSlowWrite guards against a delayed write that has no effect after its
// client has timed out. Clients that read a row back must handle writes that
// take effect later.
func TestSlowWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := platform.New(platform.WithToken("secret"))
		c := table.New(newCaller(t, s))
		s.SetFaults(platform.Faults{DelayMillis: 1500})
		_, err := c.Put(t.Context(), galenalatch.Write{Key: "k", Value: []byte("late")})
		assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindWriteUnknown)
		s.SetFaults(platform.Faults{})
		synctest.Wait()
		_, err = c.Get(t.Context(), "k")
		assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindNotFound)
		<-time.After(time.Second)
		row, err := c.Get(t.Context(), "k")
		assert.NilError(t, err)
		assert.Equal(t, string(row.Value), "late")
	})
}

// TestUnchangedInstances guards against an instance list that is sent again
// although it has not changed, and against an outdated list after a change.
func TestUnchangedInstances(t *testing.T) {
	s := platform.New(platform.WithToken("secret"))
	c := instances.New(newCaller(t, s))
	for i, id := range []string{"a", "a", "b", "b"} {
		assert.NilError(t, s.SetInstance(galenalatch.Instance{ID: id, Role: galenalatch.RouterRole}))
		before := s.Stats().BytesRead
		list, err := c.List(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, list[len(list)-1].ID, id)
		assert.Equal(t, s.Stats().BytesRead == before, i%2 == 1)
	}
}

// TestInstances guards against an instance list that changes while
// FreezeInstances is set, and against lost fields.
func TestInstances(t *testing.T) {
	s := platform.New(platform.WithToken("secret"))
	c := instances.New(newCaller(t, s))
	want := galenalatch.Instance{ID: "a", Role: galenalatch.ServerRole, Address: "127.0.0.1:1", DataCentre: "d", Pool: "p"}
	code, _ := send(s, "PUT", "/instances/a", `{"role":"server","address":"127.0.0.1:1","dataCentre":"d","pool":"p"}`)
	assert.Equal(t, code, http.StatusNoContent)
	code, _ = send(s, "PUT", "/control", `{"freezeInstances":true}`)
	assert.Equal(t, code, http.StatusNoContent)
	code, _ = send(s, "DELETE", "/instances/a", "")
	assert.Equal(t, code, http.StatusNoContent)
	list, err := c.List(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, list, []galenalatch.Instance{want})
	s.SetFaults(platform.Faults{})
	list, err = c.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)
}

// TestObjectsAndStats guards against objects whose name or content is altered,
// and against calls that are not counted.
func TestObjectsAndStats(t *testing.T) {
	s := platform.New(platform.WithToken("secret"))
	c := object.New(newCaller(t, s))
	assert.NilError(t, c.Put(t.Context(), "a/b c", []byte{0, 1, 255}))
	value, err := c.Get(t.Context(), "a/b c")
	assert.NilError(t, err)
	assert.DeepEqual(t, value, []byte{0, 1, 255})
	_, err = c.Get(t.Context(), "a")
	assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindNotFound)
	s.SetFaults(platform.Faults{Down: true})
	_, err = c.Get(t.Context(), "a/b c")
	assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindPlatformDown)
	_, stats := send(s, "GET", "/control/stats", "")
	assert.Equal(t, stats, `{"reads":3,"writes":1,"writtenRows":1,"bytesRead":13,"bytesWritten":3,"refused":1,"lost":0}`)
}
