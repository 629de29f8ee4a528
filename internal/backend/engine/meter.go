package engine

import (
	"bytes"
	"encoding/json"

	"github.com/galenalatch/galenalatch"
)

// bytesPerToken estimates the prompt tokens of an answer without usage. English
// text has about 4 bytes per token.
const bytesPerToken = 4

// meter determines the cost of an answer: the usage that the engine reported,
// or an estimate when it has reported none.
type meter struct {
	reported  *reportedUsage
	estimated galenalatch.Usage
}

// reportedUsage is the usage object of the chat completions API.
type reportedUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// chunk holds the fields of an answer, or of one event, that the meter reads.
type chunk struct {
	Choices []struct {
		Text    string  `json:"text"`
		Message message `json:"message"`
		Delta   message `json:"delta"`
	} `json:"choices"`
	Usage *reportedUsage `json:"usage"`
}

// message holds the output of one choice.
type message struct {
	Content   string          `json:"content"`
	Reasoning string          `json:"reasoning_content"`
	Tools     json.RawMessage `json:"tool_calls"`
}

// requestUsage sets stream_options.include_usage in the body of a streamed
// request, and reports whether it was not set before. Without the option the
// number of prompt tokens is unknown. Other bodies are returned as they are.
func requestUsage(body []byte) (changed []byte, added bool) {
	var q, options map[string]json.RawMessage
	if json.Unmarshal(body, &q) != nil || string(q["stream"]) != "true" {
		return body, false
	}
	if o, ok := q["stream_options"]; ok && json.Unmarshal(o, &options) != nil {
		return body, false
	}
	if string(options["include_usage"]) == "true" {
		return body, false
	}
	if options == nil {
		options = make(map[string]json.RawMessage)
	}
	options["include_usage"] = json.RawMessage("true")
	o, err := json.Marshal(options)
	if err != nil {
		return body, false
	}
	q["stream_options"] = o
	changed, err = json.Marshal(q)
	if err != nil {
		return body, false
	}
	return changed, true
}

// countPrompt estimates the prompt tokens from the body of the request.
func (m *meter) countPrompt(body []byte) {
	var q struct {
		Messages json.RawMessage `json:"messages"`
	}
	if json.Unmarshal(body, &q) != nil {
		return
	}
	m.estimated.PromptTokens = int64(len(q.Messages)) / bytesPerToken
}

// countEvent counts one event of a stream and reports whether it contains only
// the usage. Data that cannot be decoded is not counted.
func (m *meter) countEvent(data []byte) (usageOnly bool) {
	var c chunk
	if json.Unmarshal(data, &c) != nil {
		return false
	}
	if c.Usage != nil {
		m.reported = c.Usage
	}
	for _, x := range c.Choices {
		if x.Text != "" || x.Delta.Content != "" || x.Delta.Reasoning != "" || len(x.Delta.Tools) > 0 {
			m.estimated.OutputTokens++
		}
	}
	return c.Usage != nil && len(c.Choices) == 0
}

// countBody counts an answer that is not streamed. Without reported usage, each
// word counts as a token.
func (m *meter) countBody(data []byte) {
	var c chunk
	if json.Unmarshal(data, &c) != nil {
		return
	}
	m.reported = c.Usage
	for _, x := range c.Choices {
		m.estimated.OutputTokens += int64(len(bytes.Fields([]byte(x.Message.Content))))
	}
}

// usage returns the reported usage, or the estimate.
func (m *meter) usage() galenalatch.Usage {
	if m.reported != nil {
		return galenalatch.Usage{
			PromptTokens: max(0, m.reported.PromptTokens),
			OutputTokens: max(0, m.reported.CompletionTokens),
		}
	}
	return m.estimated
}
