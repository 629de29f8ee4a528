package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// defaultMaxTokens is the number of tokens that are generated for a request
// without max_tokens and max_completion_tokens.
const defaultMaxTokens = 16

// request holds the fields of a chat completions request that the engine uses.
// Each word of the prompt is a token.
type request struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Stream              bool `json:"stream"`
	MaxTokens           int  `json:"max_tokens"`
	MaxCompletionTokens int  `json:"max_completion_tokens"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`

	words []string
}

// parseRequest decodes a request and sets its words and the default of MaxTokens.
func parseRequest(body []byte) (request, error) {
	var q request
	if err := json.Unmarshal(body, &q); err != nil {
		return q, fmt.Errorf("parsing the request: %w", err)
	}
	if len(q.Messages) == 0 {
		return q, errors.New("messages is empty")
	}
	for _, m := range q.Messages {
		var text string
		var parts []struct {
			Text string `json:"text"`
		}
		if json.Unmarshal(m.Content, &text) == nil {
			q.words = append(q.words, strings.Fields(text)...)
		} else if json.Unmarshal(m.Content, &parts) == nil {
			for _, p := range parts {
				q.words = append(q.words, strings.Fields(p.Text)...)
			}
		}
	}
	if q.MaxTokens <= 0 {
		q.MaxTokens = q.MaxCompletionTokens
	}
	if q.MaxTokens <= 0 {
		q.MaxTokens = defaultMaxTokens
	}
	return q, nil
}

// CompletionText returns the whole text that the engine generates for a prompt.
// Each token is a number, counted from 1, and a word of the prompt. The words
// are used in turn and repeat.
func CompletionText(prompt string, tokens int) string {
	q := request{words: strings.Fields(prompt)}
	var b strings.Builder
	for i := 1; i <= tokens; i++ {
		b.WriteString(q.token(i))
	}
	return b.String()
}

// token returns token i of the generated text, counted from 1.
func (q request) token(i int) string {
	word := "empty"
	if len(q.words) > 0 {
		word = q.words[(i-1)%len(q.words)]
	}
	return fmt.Sprintf("%d:%s ", i, word)
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// response is the deterministic response to a request.
type response struct {
	request      request
	id           string
	cachedTokens int
}

// newCompletion returns a completion object without usage. Its choices are never
// nil, so that they are encoded as an array.
func (a response) newCompletion(object string, choices ...choice) completion {
	if choices == nil {
		choices = []choice{}
	}
	return completion{ID: a.id, Object: object, Model: a.request.Model, Choices: choices}
}

func (a response) usage() *usage {
	u := &usage{
		PromptTokens:     len(a.request.words),
		CompletionTokens: a.request.MaxTokens,
		TotalTokens:      len(a.request.words) + a.request.MaxTokens,
	}
	u.Details.CachedTokens = a.cachedTokens
	return u
}

// fullCompletion returns the response to a request without streaming.
func (a response) fullCompletion() completion {
	var b strings.Builder
	for i := 1; i <= a.request.MaxTokens; i++ {
		b.WriteString(a.request.token(i))
	}
	stop := "length"
	c := a.newCompletion("chat.completion", choice{
		Message: &message{Role: "assistant", Content: b.String()}, FinishReason: &stop,
	})
	c.Usage = a.usage()
	return c
}

// eventCount returns the number of events of a stream, without the final [DONE].
func (a response) eventCount() int {
	n := a.request.MaxTokens + 1
	if a.request.StreamOptions.IncludeUsage {
		n++
	}
	return n
}

// chunk returns event i of a stream, counted from 1: first one event for each
// token, then the finish reason, then the usage.
func (a response) chunk(i int) completion {
	const object = "chat.completion.chunk"
	switch {
	case i <= a.request.MaxTokens:
		m := &message{Content: a.request.token(i)}
		if i == 1 {
			m.Role = "assistant"
		}
		return a.newCompletion(object, choice{Delta: m})
	case i == a.request.MaxTokens+1:
		stop := "length"
		return a.newCompletion(object, choice{Delta: &message{}, FinishReason: &stop})
	default:
		c := a.newCompletion(object)
		c.Usage = a.usage()
		return c
	}
}
