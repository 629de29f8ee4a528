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

const (
	answered = "answered"
	notRun   = "notRun"
	// cut is the outcome of an answer that ended without its end.
	cut = "cut"
	// unsent is the outcome of a call that reached no router.
	unsent = "unreached"
)

// end is the end of one try.
type end struct {
	outcome    string
	err        error
	wrong      bool
	request    string
	body       string
	retryAfter time.Duration
	tries      int
	refused    int
	first      time.Duration
	wait       time.Duration
	total      time.Duration
}

// prompt returns words that no other call has.
func prompt(caller int, call int64, words int) string {
	w := []string{fmt.Sprintf("c%d", caller), fmt.Sprintf("n%d", call)}
	for len(w) < words {
		w = append(w, "word")
	}
	return strings.Join(w, " ")
}

// try makes a call once.
func (w *worker) try(ctx context.Context, q query) end {
	began := time.Now()
	r, err := w.request(ctx, q)
	if err != nil {
		return end{outcome: err.Error()}
	}
	resp, err := w.generator.client.Do(r)
	if err != nil {
		return end{outcome: unsent, err: err, retryAfter: 100 * time.Millisecond}
	}
	defer func() { _ = resp.Body.Close() }()
	e := end{request: resp.Header.Get("X-Request-Id")}
	if resp.StatusCode >= http.StatusBadRequest {
		return w.refused(e, resp)
	}
	if w.caller.Stream {
		return w.stream(e, resp.Body, q, began)
	}
	data, err := io.ReadAll(resp.Body)
	e.first = time.Since(began)
	e.body = string(data)
	if err != nil {
		e.outcome, e.err = cut, err
		return e
	}
	e.outcome = answered
	e.wrong = !w.matches(data, q)
	return e
}

func (w *worker) request(ctx context.Context, q query) (*http.Request, error) {
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
	r, err := http.NewRequestWithContext(ctx, method, "http://"+w.generator.router()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// The call is repeated by the caller, never by the transport.
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+c.Key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Class", string(c.Class))
	if q.key != "" {
		r.Header.Set("Idempotency-Key", q.key)
	}
	return r, nil
}

func (w *worker) refused(e end, resp *http.Response) end {
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

// stream reads an answer of server-sent events up to [DONE].
func (w *worker) stream(e end, body io.Reader, q query, began time.Time) end {
	var text strings.Builder
	s := bufio.NewScanner(body)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if e.first == 0 {
			e.first = time.Since(began)
		}
		if data == "[DONE]" {
			e.outcome = answered
			e.body = text.String()
			e.wrong = e.body != engine.Answer(q.words(), w.caller.MaxTokens)
			return e
		}
		piece, err := content(data)
		if err != nil {
			e.outcome = "broken"
			return e
		}
		text.WriteString(piece)
	}
	e.outcome = cut
	return e
}

// content returns the text of a chunk, or an error for an error event.
func content(data string) (string, error) {
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

// matches reports whether a whole body answers the call.
func (w *worker) matches(data []byte, q query) bool {
	if w.caller.Model != "" {
		var a struct {
			Choices []struct {
				Message struct {
					Content string `json:"content"`
				} `json:"message"`
			} `json:"choices"`
		}
		err := json.Unmarshal(data, &a)
		return err == nil && len(a.Choices) == 1 && a.Choices[0].Message.Content == engine.Answer(q.words(), w.caller.MaxTokens)
	}
	var r service.Record
	if json.Unmarshal(data, &r) != nil || r.Path != w.caller.Path {
		return false
	}
	return w.caller.Method == http.MethodGet || r.Body == q.body
}
