package generator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/galenalatch/galenalatch/internal/standin/engine"
	"github.com/galenalatch/galenalatch/internal/standin/service"
)

// Outcomes of an attempt. Others are "broken" for an invalid event or an error
// event in a stream, and the X-Outcome header or the status of a refusal.
const (
	answered = "answered"
	notRun   = "notRun"
	// truncated is the outcome of an answer that is not complete.
	truncated = "cut"
	// unreachable is the outcome of a request without a response.
	unreachable = "unreached"
)

// attemptResult is the result of one attempt. After callWithRetries it is the
// result of the last attempt, with the fields that cover all attempts of the
// call: attempts, refused, wait and total.
type attemptResult struct {
	outcome     string
	err         error
	wrong       bool
	requestID   string
	body        string
	retryAfter  time.Duration
	attempts    int
	refused     int
	timeToFirst time.Duration
	wait        time.Duration
	total       time.Duration
}

// prompt returns a text that differs for each caller and call, of the given
// number of words but at least 2.
func prompt(caller int, call int64, words int) string {
	w := []string{fmt.Sprintf("c%d", caller), fmt.Sprintf("n%d", call)}
	for len(w) < words {
		w = append(w, "word")
	}
	return strings.Join(w, " ")
}

// attempt sends the request to the next router and checks the response.
func (w *worker) attempt(ctx context.Context, q callContent) attemptResult {
	began := time.Now()
	r, err := w.httpRequest(ctx, q)
	if err != nil {
		return attemptResult{outcome: err.Error()}
	}
	resp, err := w.generator.client.Do(r)
	if err != nil {
		return attemptResult{outcome: unreachable, err: err, retryAfter: 100 * time.Millisecond}
	}
	defer func() { _ = resp.Body.Close() }()
	e := attemptResult{requestID: resp.Header.Get("X-Request-Id")}
	if resp.StatusCode >= http.StatusBadRequest {
		return w.readRefusal(e, resp)
	}
	if w.caller.Stream {
		return w.readStream(e, resp.Body, q, began)
	}
	data, err := io.ReadAll(resp.Body)
	e.timeToFirst = time.Since(began)
	e.body = string(data)
	if err != nil {
		e.outcome, e.err = truncated, err
		return e
	}
	e.outcome = answered
	e.wrong = !w.matches(data, q)
	return e
}

func (w *worker) httpRequest(ctx context.Context, q callContent) (*http.Request, error) {
	c := w.caller
	method, path, body := c.Method, "/services/"+string(c.Pool)+c.Path, []byte(q.body)
	if c.Model != "" {
		method, path = http.MethodPost, "/v1/chat/completions"
		messages := []map[string]string{{"role": "user", "content": q.prompt}}
		if q.system != "" {
			messages = slices.Insert(messages, 0, map[string]string{"role": "system", "content": q.system})
		}
		body, _ = json.Marshal(map[string]any{
			"model":      c.Model,
			"stream":     c.Stream,
			"max_tokens": c.MaxTokens,
			"messages":   messages,
		})
	}
	if method == http.MethodGet {
		body = nil
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+w.generator.nextRouter()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// The generator repeats a call, not the transport.
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+c.Key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Class", string(c.Class))
	if q.key != "" {
		r.Header.Set("Idempotency-Key", q.key)
	}
	return r, nil
}

// readRefusal returns the result of a response with an error status.
func (w *worker) readRefusal(e attemptResult, resp *http.Response) attemptResult {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<20))
	e.outcome = resp.Header.Get("X-Outcome")
	if e.outcome == "" {
		e.outcome = "status " + strconv.Itoa(resp.StatusCode)
	}
	e.retryAfter = 200 * time.Millisecond
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		e.retryAfter = time.Duration(s) * time.Second
	}
	return e
}

// readStream reads server-sent events up to [DONE] and checks the whole answer.
func (w *worker) readStream(e attemptResult, body io.Reader, q callContent, began time.Time) attemptResult {
	var answer strings.Builder
	s := bufio.NewScanner(body)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if e.timeToFirst == 0 {
			e.timeToFirst = time.Since(began)
		}
		if data == "[DONE]" {
			e.outcome = answered
			e.body = answer.String()
			e.wrong = e.body != engine.CompletionText(q.allWords(), w.caller.MaxTokens)
			return e
		}
		delta, err := chunkContent(data)
		if err != nil {
			e.outcome = "broken"
			return e
		}
		answer.WriteString(delta)
	}
	e.outcome = truncated
	return e
}

// chunkContent returns the text in the data of a chunk. An error event is an
// error.
func chunkContent(data string) (string, error) {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error json.RawMessage `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return "", err
	}
	if chunk.Error != nil {
		return "", fmt.Errorf("error event: %s", chunk.Error)
	}
	if len(chunk.Choices) == 0 {
		return "", nil
	}
	return chunk.Choices[0].Delta.Content, nil
}

// matches reports whether a body is the expected answer to the request.
func (w *worker) matches(data []byte, q callContent) bool {
	if w.caller.Model != "" {
		var a struct {
			Choices []struct {
				Message struct {
					Content string `json:"content"`
				} `json:"message"`
			} `json:"choices"`
		}
		err := json.Unmarshal(data, &a)
		return err == nil && len(a.Choices) == 1 && a.Choices[0].Message.Content == engine.CompletionText(q.allWords(), w.caller.MaxTokens)
	}
	var r service.Record
	if json.Unmarshal(data, &r) != nil || r.Path != w.caller.Path {
		return false
	}
	return w.caller.Method == http.MethodGet || r.Body == q.body
}
