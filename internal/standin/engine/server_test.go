package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/galenalatch/galenalatch/internal/backend/report"
	"github.com/galenalatch/galenalatch/internal/standin/network"
	"github.com/galenalatch/galenalatch/internal/standin/process"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"
)

// TestOpenAIClient guards against responses that the OpenAI client library cannot
// read.
func TestOpenAIClient(t *testing.T) {
	s := httptest.NewServer(New(Settings{}))
	defer s.Close()
	c := openai.NewClient(option.WithBaseURL(s.URL+"/v1"), option.WithAPIKey("x"), option.WithMaxRetries(0))
	q := openai.ChatCompletionNewParams{
		Model:         "stub",
		MaxTokens:     openai.Int(5),
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("plan a shift")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
	whole, err := c.Chat.Completions.New(t.Context(), q)
	assert.NilError(t, err)
	assert.Equal(t, whole.Choices[0].Message.Content, CompletionText("plan a shift", 5))
	assert.Equal(t, whole.Usage.TotalTokens, int64(8))
	stream := c.Chat.Completions.NewStreaming(t.Context(), q)
	var all openai.ChatCompletionAccumulator
	for stream.Next() {
		assert.Check(t, all.AddChunk(stream.Current()))
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, all.Choices[0].Message.Content, CompletionText("plan a shift", 5))
	assert.Equal(t, all.Choices[0].FinishReason, "length")
	assert.Equal(t, all.Usage.CompletionTokens, int64(5))
	models, err := c.Models.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, models.Data[0].ID, "stub")
}

func post(e http.Handler, id, prompt string, tokens int) {
	b, _ := json.Marshal(map[string]any{
		"messages": []map[string]string{{"role": "user", "content": prompt}}, "max_tokens": tokens,
	})
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", bytes.NewReader(b))
	r.Header.Set("X-Request-Id", id)
	e.ServeHTTP(httptest.NewRecorder(), r)
}

// TestColdStart guards against a stand-in that does not count requests above the
// limit of a cold server, or does not crash on them with CrashOnColdOverload.
func TestColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cold := process.Settings{ColdLimit: 2, ColdRequests: 4}
		e := New(Settings{Settings: cold, Slots: 8, FirstToken: time.Second})
		burst := func(n int) {
			var g sync.WaitGroup
			for i := range n {
				g.Go(func() { post(e, fmt.Sprint(i), "a", 1) })
			}
			g.Wait()
		}
		burst(2)
		assert.Equal(t, e.Stats().ColdOverloads, 0)
		burst(4)
		assert.Equal(t, e.Stats().ColdOverloads, 0)
		assert.Check(t, !e.Stats().Cold)
		burst(8)
		assert.Equal(t, e.Stats().ColdOverloads, 0)
		e.Restart()
		burst(3)
		assert.Equal(t, e.Stats().ColdOverloads, 1)
		assert.Equal(t, e.Stats().MaxRunningCold, 4)

		cold.CrashOnColdOverload = true
		e = New(Settings{Settings: cold, Slots: 8, FirstToken: time.Second})
		boot := e.Boot()
		burst(3)
		st := e.Stats()
		assert.Equal(t, st.ColdOverloadCrashes, 1)
		assert.Equal(t, st.Completed, 0)
		assert.Check(t, e.Boot() != boot)
	})
}

// TestPrefixCache guards against an engine on which a repeated prefix has no effect
// on the time to the first token, and against a cache that grows without limit or
// survives a restart.
func TestPrefixCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Settings{PromptTokenTime: time.Millisecond, CacheTokens: 64})
		requestTime := func(prompt string) time.Duration {
			start := time.Now()
			post(e, "1", prompt, 1)
			return time.Since(start)
		}
		long := strings.Repeat("a ", 40)
		assert.Equal(t, requestTime(long), 40*time.Millisecond)
		assert.Equal(t, requestTime(long+"b"), 9*time.Millisecond)
		e.Restart()
		assert.Equal(t, requestTime(long), 40*time.Millisecond)
		assert.Equal(t, requestTime("c "+long), 41*time.Millisecond)
		assert.Equal(t, requestTime(strings.Repeat("d ", 64)), 64*time.Millisecond)
		assert.Equal(t, requestTime(long), 40*time.Millisecond)
	})
}

// TestReports guards against a metrics page that ignores the injected lag or does
// not show that the server is leaving, and against control calls without effect.
func TestReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := network.New()
		l, err := n.Listen("a:1")
		assert.NilError(t, err)
		e := New(Settings{FirstToken: 10 * time.Second})
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		g.Go(func() { assert.Check(t, e.Serve(ctx, l)) })
		c := &http.Client{Transport: &http.Transport{DialContext: n.Dial}}
		r := report.New(report.WithTransport(c.Transport))
		check := func(running, waiting int, leaving bool) {
			t.Helper()
			got, err := r.Report(ctx, "a:1")
			assert.NilError(t, err)
			assert.Equal(t, got.Boot, e.Boot())
			assert.Equal(t, fmt.Sprint(got.Running, got.Waiting, got.Leaving), fmt.Sprint(running, waiting, leaving))
		}
		g.Go(func() { post(e, "1", "a", 1) })
		g.Go(func() { post(e, "2", "a", 1) })
		synctest.Wait()
		check(1, 1, false)
		resp, err := c.Post("http://a:1/control/failures", "", strings.NewReader(`{"lagMillis":2000,"leaving":true}`))
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		check(0, 0, true)
		<-time.After(3 * time.Second)
		check(1, 1, true)
		resp, err = c.Post("http://a:1/control/cold", "", nil)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		check(1, 1, true)
		<-time.After(3 * time.Second)
		check(0, 0, true)
		resp, err = c.Get("http://a:1/control/stats")
		assert.NilError(t, err)
		var st process.Stats
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&st))
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, st.Boots, 2)
		assert.Equal(t, st.Runs["1"]+st.Runs["2"], 2)
		c.CloseIdleConnections()
		cancel()
		g.Wait()
	})
}
