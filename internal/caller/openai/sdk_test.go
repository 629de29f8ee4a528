package openai_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	sdk "github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/auth"
	"github.com/galenalatch/galenalatch/internal/caller/inflight"
	"github.com/galenalatch/galenalatch/internal/caller/openai"
	"github.com/galenalatch/galenalatch/internal/caller/request"
)

const key = "a-key-of-workspace-graz"

// scriptedSubmitter is a Submitter that records requests and sends a given
// answer.
type scriptedSubmitter struct {
	mu          sync.Mutex
	received    []galenalatch.Request
	status      int
	contentType string
	pieces      []string
	err         error
}

func (f *scriptedSubmitter) Submit(ctx context.Context, r galenalatch.Request, s galenalatch.Sink) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = append(f.received, r)
	if f.contentType != "" {
		if err := s.Header(f.status, http.Header{"Content-Type": {f.contentType}}); err != nil {
			return err
		}
	}
	for _, p := range f.pieces {
		if err := s.Data([]byte(p)); err != nil {
			return err
		}
	}
	return f.err
}

func (f *scriptedSubmitter) requests() []galenalatch.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received
}

func chunk(text string) string {
	return fmt.Sprintf(`{"id":"c","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":%q}}],"usage":null}`, text)
}

const usageChunk = `{"id":"c","object":"chat.completion.chunk","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}}`

const completion = `{"id":"c","object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":"Hello there"}}]}`

func catalogue() galenalatch.Catalogue {
	sum := sha256.Sum256([]byte(key))
	return galenalatch.Catalogue{
		Version: 1,
		Pools: []galenalatch.Pool{
			{Name: "lettering", Kind: galenalatch.ModelPool, Models: []string{"draft", "suggestion"}, PromptWeight: 1, OutputWeight: 4, MaxCost: 1000},
			{Name: "booking", Kind: galenalatch.PlainPool},
		},
		Workspaces: []galenalatch.Workspace{{Name: "graz", KeyHashes: []string{hex.EncodeToString(sum[:])}}},
	}
}

func start(t *testing.T, f *scriptedSubmitter, options ...request.Option) (*httptest.Server, sdk.Client) {
	h := openai.New(request.New(f, catalogue, auth.New(catalogue).Workspace, options...))
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s, sdk.NewClient(option.WithBaseURL(s.URL+"/v1/"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func params() sdk.ChatCompletionNewParams {
	return sdk.ChatCompletionNewParams{
		Model:     "draft",
		Messages:  []sdk.ChatCompletionMessageParamUnion{sdk.UserMessage("Write a letter")},
		MaxTokens: sdk.Int(10),
	}
}

// Guards against a stream that breaks after its head and that the OpenAI SDK
// accepts as complete, and against lost or reordered chunks.
func TestSDKStream(t *testing.T) {
	for name, c := range map[string]struct {
		submitter *scriptedSubmitter
		text      string
		status    int
		want      string
	}{
		"success":       {&scriptedSubmitter{status: 200, contentType: "text/event-stream", pieces: []string{chunk("Hello "), chunk("there"), usageChunk, "[DONE]"}}, "Hello there", 0, ""},
		"refusal":       {&scriptedSubmitter{err: galenalatch.KindQueueFull.Errorf("the queue is full")}, "", 429, "the queue is full"},
		"broken stream": {&scriptedSubmitter{status: 200, contentType: "text/event-stream", pieces: []string{chunk("Hello ")}, err: galenalatch.KindStreamBroken.Errorf("reset")}, "Hello ", 0, "streamBroke"},
		"broken after the [DONE] of the engine": {&scriptedSubmitter{status: 200, contentType: "text/event-stream", pieces: []string{chunk("Hello "), "[DONE]"},
			err: galenalatch.KindStreamBroken.Errorf("reset")}, "Hello ", 0, "streamBroke"},
		"error of the engine": {&scriptedSubmitter{status: 400, contentType: "application/json", pieces: []string{`{"error":{"message":"context too long"}}`}}, "", 400, "context too long"},
	} {
		_, client := start(t, c.submitter)
		stream := client.Chat.Completions.NewStreaming(t.Context(), params())
		var text strings.Builder
		for stream.Next() {
			assert.Assert(t, len(stream.Current().Choices) > 0, "%s: the usage was not asked for", name)
			text.WriteString(stream.Current().Choices[0].Delta.Content)
		}
		assert.Equal(t, text.String(), c.text, name)
		checkError(t, name, stream.Err(), c.status, c.want)
		assert.Equal(t, len(c.submitter.requests()), 1, name)
		assert.Assert(t, strings.Contains(string(c.submitter.received[0].Body), `"include_usage":true`), name)
	}
}

// Guards against an incomplete body that the OpenAI SDK accepts as complete.
func TestSDKBody(t *testing.T) {
	for name, c := range map[string]struct {
		submitter *scriptedSubmitter
		status    int
		want      string
	}{
		"success":              {&scriptedSubmitter{status: 200, contentType: "application/json", pieces: []string{completion[:20], completion[20:]}}, 0, ""},
		"refusal":              {&scriptedSubmitter{err: galenalatch.KindOutOfService.Errorf("x")}, 503, "no backend server"},
		"broken body":          {&scriptedSubmitter{status: 200, contentType: "application/json", pieces: []string{completion[:20]}, err: galenalatch.KindServerFailed.Errorf("x")}, 0, "EOF"},
		"error after the body": {&scriptedSubmitter{status: 200, contentType: "application/json", pieces: []string{completion}, err: galenalatch.KindServerFailed.Errorf("x")}, 0, "EOF"},
		"no answer":            {&scriptedSubmitter{}, 500, "internal error"},
		"error without a kind": {&scriptedSubmitter{err: errors.New("x")}, 500, "internal error"},
	} {
		_, client := start(t, c.submitter)
		got, err := client.Chat.Completions.New(t.Context(), params())
		checkError(t, name, err, c.status, c.want)
		if c.want == "" {
			assert.Equal(t, got.Choices[0].Message.Content, "Hello there", name)
		}
		assert.Equal(t, len(c.submitter.requests()), 1, name)
	}
}

func checkError(t *testing.T, name string, err error, status int, want string) {
	t.Helper()
	if want == "" {
		assert.NilError(t, err, name)
		return
	}
	// The Error method of the SDK's error leaves out the message.
	var e *sdk.Error
	if errors.As(err, &e) {
		assert.Equal(t, e.StatusCode, status, name)
		err = errors.New(e.Message)
	} else {
		assert.Equal(t, status, 0, "%s: %v", name, err)
	}
	assert.ErrorContains(t, err, want, name)
}

// Guards against dropping the usage chunk for a caller that requested it.
func TestSDKUsage(t *testing.T) {
	f := &scriptedSubmitter{status: 200, contentType: "text/event-stream", pieces: []string{chunk("Hello"), usageChunk}}
	_, client := start(t, f)
	p := params()
	p.StreamOptions.IncludeUsage = sdk.Bool(true)
	stream := client.Chat.Completions.NewStreaming(t.Context(), p)
	var total int64
	for stream.Next() {
		total += stream.Current().Usage.TotalTokens
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, total, int64(5))
}

// Guards against a model list that the SDK cannot decode, or that includes pools
// of other kinds.
func TestSDKModels(t *testing.T) {
	_, client := start(t, &scriptedSubmitter{})
	page, err := client.Models.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(page.Data), 2)
	assert.Equal(t, page.Data[0].ID, "draft")
	_, err = client.Models.Get(t.Context(), "suggestion")
	assert.NilError(t, err)
	_, err = client.Models.Get(t.Context(), "none")
	checkError(t, "unknown model", err, 404, "is not served")
}

// Guards against a request that is submitted with the wrong workspace, pool,
// class or estimate, or with the caller's key in a header.
func TestSubmittedRequest(t *testing.T) {
	f := &scriptedSubmitter{status: 200, contentType: "application/json", pieces: []string{completion}}
	var observed galenalatch.Request
	_, client := start(t, f, request.WithLimiter(inflight.New(1, 1000)), request.WithObserver(func(r galenalatch.Request, err error, first, total time.Duration) {
		assert.Check(t, err == nil && first > 0 && total >= first)
		observed = r
	}))
	p := params()
	p.N = sdk.Int(2)
	_, err := client.Chat.Completions.New(t.Context(), p, option.WithHeader("X-Class", "batch"), option.WithJSONSet("top_k", 5))
	assert.NilError(t, err)
	q := f.requests()[0]
	assert.Equal(t, q.Workspace, galenalatch.WorkspaceName("graz"))
	assert.Equal(t, q.Pool, galenalatch.PoolName("lettering"))
	assert.Equal(t, q.Class, galenalatch.Batch)
	// 14 bytes of prompt count as 4 tokens of weight 1, the output as 2 x 10
	// tokens of weight 4.
	assert.Equal(t, q.Estimate, int64(84))
	assert.Assert(t, q.Repeatable && q.Key == "")
	assert.Equal(t, q.Header.Get("X-Request-Id"), string(q.ID))
	assert.Assert(t, !strings.Contains(fmt.Sprint(q.Header), key))
	assert.Equal(t, observed.ID, q.ID)
	var sent map[string]any
	assert.NilError(t, json.Unmarshal(q.Body, &sent))
	assert.Equal(t, sent["top_k"], 5.0)
	assert.Equal(t, sent["stream_options"], nil)
	// The limit is one request: the first one must have been released.
	_, err = client.Chat.Completions.New(t.Context(), p)
	assert.NilError(t, err)
}

// Guards against invalid requests that are submitted, and against error messages
// that do not state what is wrong or that contain parts of the conversation.
func TestBadRequests(t *testing.T) {
	f := &scriptedSubmitter{status: 200, contentType: "application/json", pieces: []string{completion}}
	s, _ := start(t, f, request.WithBodyLimit(2000))
	const messages = `"messages":[{"role":"user","content":"private words"}]`
	with := func(field string) string { return `{"model":"draft",` + messages + `,` + field + `}` }
	post := func(body string) *http.Request {
		r, err := http.NewRequest("POST", s.URL+"/v1/chat/completions", strings.NewReader(body))
		assert.NilError(t, err)
		r.Header.Set("Authorization", "Bearer "+key)
		return r
	}
	header := func(name, value string) *http.Request {
		r := post(with(`"n":1`))
		r.Header.Set(name, value)
		return r
	}
	to := func(method, path string) *http.Request {
		r := post("")
		r.Method, r.URL.Path = method, path
		return r
	}
	chunked := post(strings.Repeat(" ", 3000))
	chunked.ContentLength = -1
	var b strings.Builder
	for _, c := range []struct {
		name string
		r    *http.Request
	}{
		{"no key", header("Authorization", "")},
		{"other scheme", header("Authorization", "Basic "+key)},
		{"unknown key", header("Authorization", "Bearer "+key+"x")},
		{"class", header("X-Class", "urgent")},
		{"content type", header("Content-Type", "text/plain")},
		{"content encoding", header("Content-Encoding", "gzip")},
		{"path", to("POST", "/v1/completions")},
		{"method", to("GET", "/v1/chat/completions")},
		{"method of models", to("DELETE", "/v1/models/draft")},
		{"too large", post(strings.Repeat(" ", 3000))},
		{"too large without a length", chunked},
		{"empty", post("")},
		{"syntax", post(`{"model":"draft"`)},
		{"array", post(`[]`)},
		{"null", post(`null`)},
		{"no model", post(`{` + messages + `}`)},
		{"model of another type", post(`{"model":7,` + messages + `}`)},
		{"unknown model", post(`{"model":"other",` + messages + `}`)},
		{"no messages", post(`{"model":"draft"}`)},
		{"empty messages", post(`{"model":"draft","messages":[]}`)},
		{"role", post(`{"model":"draft","messages":[{"role":"boss","content":"private words"}]}`)},
		{"content", post(`{"model":"draft","messages":[{"role":"user","content":7}]}`)},
		{"stream", post(with(`"stream":"yes"`))},
		{"stream options without a stream", post(with(`"stream_options":{"include_usage":true}`))},
		{"include usage", post(with(`"stream":true,"stream_options":{"include_usage":1}`))},
		{"tokens", post(with(`"max_tokens":0`))},
		{"part of a token", post(with(`"max_completion_tokens":1.5`))},
		{"too many tokens", post(with(`"max_tokens":99999999999999999999`))},
		{"choices", post(with(`"n":129`))},
		{"temperature", post(with(`"temperature":2.1`))},
		{"top p", post(with(`"top_p":-0.1`))},
	} {
		r, err := http.DefaultClient.Do(c.r)
		assert.NilError(t, err, c.name)
		var answer struct {
			Error struct {
				Message string
				Outcome galenalatch.Outcome
			}
		}
		assert.NilError(t, json.NewDecoder(r.Body).Decode(&answer), c.name)
		assert.NilError(t, r.Body.Close())
		assert.Equal(t, answer.Error.Outcome, galenalatch.NotRun, c.name)
		assert.Assert(t, !strings.Contains(answer.Error.Message, "private words") && !strings.Contains(answer.Error.Message, key), c.name)
		fmt.Fprintf(&b, "%s: %d %s\n", c.name, r.StatusCode, answer.Error.Message)
	}
	golden.Assert(t, b.String(), "bad.golden")
	assert.Equal(t, len(f.requests()), 0)
}
