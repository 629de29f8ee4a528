package table_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/platform/httpclient"
	"github.com/galenalatch/galenalatch/internal/platform/table"
	"github.com/galenalatch/galenalatch/internal/standin/platform"
)

// newClient returns a simulated platform and a client of it.
func newClient(t *testing.T) (*platform.Server, *table.Client) {
	t.Helper()
	s := platform.New(platform.WithToken("secret"))
	web := httptest.NewServer(s)
	t.Cleanup(web.Close)
	c, err := httpclient.New(web.URL, httpclient.WithToken("secret"))
	assert.NilError(t, err)
	return s, table.New(c)
}

// kindOf returns the kind of err, or "" when err is nil.
func kindOf(err error) galenalatch.Kind {
	if err == nil {
		return ""
	}
	return galenalatch.KindOf(err)
}

// TestConditions guards against write conditions that are not sent or not
// checked, and against a failed condition that is not reported as a conflict.
func TestConditions(t *testing.T) {
	ctx := t.Context()
	_, c := newClient(t)
	first, err := c.Put(ctx, galenalatch.Write{Key: "a/b", Value: []byte("1"), IfAbsent: true})
	assert.NilError(t, err)
	second, err := c.Put(ctx, galenalatch.Write{Key: "a/b", Value: []byte("2"), IfTag: first.Tag})
	assert.NilError(t, err)
	assert.Assert(t, first.Tag != second.Tag)
	for _, w := range []galenalatch.Write{
		{Key: "a/b", Value: []byte("3"), IfAbsent: true},
		{Key: "a/b", Value: []byte("3"), IfTag: first.Tag},
		{Key: "a/b", Delete: true, IfTag: first.Tag},
		{Key: "none", Value: []byte("3"), IfTag: first.Tag},
	} {
		_, err := c.Put(ctx, w)
		assert.Equal(t, kindOf(err), galenalatch.KindConflict, "%+v", w)
	}
	got, err := c.Get(ctx, "a/b")
	assert.NilError(t, err)
	assert.DeepEqual(t, got, galenalatch.Row{Key: "a/b", Value: []byte("2"), Tag: second.Tag})
	_, err = c.Get(ctx, "a")
	assert.Equal(t, kindOf(err), galenalatch.KindNotFound)
	_, err = c.Put(ctx, galenalatch.Write{Key: "a/b", Delete: true, IfTag: second.Tag})
	assert.NilError(t, err)
	_, err = c.Get(ctx, "a/b")
	assert.Equal(t, kindOf(err), galenalatch.KindNotFound)
}

// TestKeyEncoding guards against keys that are truncated, merged or resolved as
// URL paths. This happens when a key has dots, slashes or percent signs and is
// not escaped.
func TestKeyEncoding(t *testing.T) {
	_, c := newClient(t)
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.OneOf(rapid.SampledFrom([]string{".", "..", "a/../b", "//a", "%2F", "a/./b?c#d"}), rapid.StringMatching(`[./%?#&+ a:\\]{1,6}`), rapid.StringN(1, 8, 40)).Draw(t, "key")
		value := []byte(key)
		row, err := c.Put(context.Background(), galenalatch.Write{Key: key, Value: value})
		assert.NilError(t, err)
		got, err := c.Get(context.Background(), key)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, row)
		list, err := c.List(context.Background(), key)
		assert.NilError(t, err)
		assert.DeepEqual(t, list[0], row)
	})
}

// TestBatchAndTransaction guards against a batch that fails as a whole because
// one write fails, and against a transaction that is applied in part.
func TestBatchAndTransaction(t *testing.T) {
	ctx := t.Context()
	_, c := newClient(t)
	results, err := c.Batch(ctx, []galenalatch.Write{
		{Key: "x", Value: []byte("1"), IfAbsent: true},
		{Key: "x", Value: []byte("2"), IfAbsent: true},
		{Key: "y", Value: []byte("3")},
		{Key: "z", Delete: true},
	})
	assert.NilError(t, err)
	var kinds []galenalatch.Kind
	for _, r := range results {
		kinds = append(kinds, kindOf(r.Err))
	}
	assert.DeepEqual(t, kinds, []galenalatch.Kind{"", galenalatch.KindConflict, "", galenalatch.KindNotFound})

	_, err = c.Transaction(ctx, []galenalatch.Write{
		{Key: "x", Value: []byte("4"), IfTag: results[0].Row.Tag},
		{Key: "y", Value: []byte("5"), IfAbsent: true},
	})
	assert.Equal(t, kindOf(err), galenalatch.KindConflict)
	rows, err := c.Transaction(ctx, []galenalatch.Write{
		{Key: "x", Value: []byte("6"), IfTag: results[0].Row.Tag},
		{Key: "y", Value: []byte("7"), IfTag: results[2].Row.Tag},
	})
	assert.NilError(t, err)
	list, err := c.List(ctx, "")
	assert.NilError(t, err)
	assert.DeepEqual(t, list, rows)
}

// TestErrorKinds guards against a write that had an effect and is reported with
// a kind that rules this out. This happens when the response is lost.
func TestErrorKinds(t *testing.T) {
	tests := map[string]struct {
		faults      platform.Faults
		read, write galenalatch.Kind
		effect      bool
	}{
		"down":          {platform.Faults{Down: true}, galenalatch.KindPlatformDown, galenalatch.KindPlatformDown, false},
		"other target":  {platform.Faults{Down: true, Targets: []string{"objects"}}, "", "", true},
		"reads refused": {platform.Faults{RefuseReads: true}, galenalatch.KindPlatformDown, "", true},
		"hang":          {platform.Faults{Hang: true}, galenalatch.KindPlatformDown, galenalatch.KindWriteUnknown, false},
		"lost":          {platform.Faults{LoseNext: 1}, "", galenalatch.KindWriteUnknown, true},
		"always lost":   {platform.Faults{LoseShare: 1}, "", galenalatch.KindWriteUnknown, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, c := newClient(t)
			_, err := c.Put(t.Context(), galenalatch.Write{Key: "k", Value: []byte("old")})
			assert.NilError(t, err)
			s.SetFaults(tt.faults)
			_, err = c.Get(t.Context(), "k")
			assert.Equal(t, kindOf(err), tt.read)
			_, err = c.Put(t.Context(), galenalatch.Write{Key: "k", Value: []byte("new")})
			assert.Equal(t, kindOf(err), tt.write)
			s.SetFaults(platform.Faults{})
			row, err := c.Get(t.Context(), "k")
			assert.NilError(t, err)
			assert.Equal(t, string(row.Value) == "new", tt.effect)
		})
	}
}

// TestStatusKinds guards against a status from a proxy, which says nothing
// about the effect of a write, being taken for a refusal by the platform. It
// also guards against a redirect that sends the write a second time.
func TestStatusKinds(t *testing.T) {
	for status, want := range map[int]galenalatch.Kind{
		http.StatusInternalServerError: galenalatch.KindWriteUnknown,
		http.StatusBadGateway:          galenalatch.KindWriteUnknown,
		http.StatusGatewayTimeout:      galenalatch.KindWriteUnknown,
		http.StatusFound:               galenalatch.KindWriteUnknown,
		http.StatusServiceUnavailable:  galenalatch.KindPlatformDown,
		http.StatusUnauthorized:        galenalatch.KindPlatformDown,
		http.StatusTooManyRequests:     galenalatch.KindPlatformDown,
	} {
		calls := 0
		web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls++
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(status)
		}))
		c, err := httpclient.New(web.URL)
		assert.NilError(t, err)
		_, err = table.New(c).Put(t.Context(), galenalatch.Write{Key: "k"})
		assert.Equal(t, kindOf(err), want, "status %d", status)
		web.Close()
		assert.Equal(t, calls, 1, "status %d", status)
	}
}

// TestConnectionRefused guards against a call that was never sent being
// reported as KindWriteUnknown. A claim would then wait for a write that cannot
// happen.
func TestConnectionRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	c, err := httpclient.New("http://" + l.Addr().String())
	assert.NilError(t, err)
	_, err = table.New(c).Put(t.Context(), galenalatch.Write{Key: "k"})
	assert.Equal(t, kindOf(err), galenalatch.KindPlatformDown)
}
