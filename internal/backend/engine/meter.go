package engine

import (
	"bytes"
	"encoding/json"

	"github.com/galenalatch/galenalatch"
)

// bytesPerToken estimates the tokens of a prompt whose answer has no usage.
// English text has about 4 bytes a token.
const bytesPerToken = 4

// meter finds the cost of an answer: the usage that the engine states, or
// else the number of tokens that were streamed.
type meter struct {
	stated  *statedUsage
	counted galenalatch.Usage
}

type statedUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// chunk is the part of an answer that the meter reads.
type chunk struct {
	Choices []struct {
		Text    string `json:"text"`
		Message part   `json:"message"`
		Delta   part   `json:"delta"`
	} `json:"choices"`
	Usage *statedUsage `json:"usage"`
}

type part struct {
	Content   string          `json:"content"`
	Reasoning string          `json:"reasoning_content"`
	Tools     json.RawMessage `json:"tool_calls"`
}

// askForUsage returns the body of a request for a stream with
// stream_options.include_usage set, and whether that had to be added. Without
// it the tokens of the prompt are unknown.
func askForUsage(body []byte) (changed []byte, added bool) {
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

// prompt estimates the prompt from the body of the request.
func (m *meter) prompt(body []byte) {
	var q struct {
		Messages json.RawMessage `json:"messages"`
	}
	if json.Unmarshal(body, &q) != nil {
		return
	}
	m.counted.PromptTokens = int64(len(q.Messages)) / bytesPerToken
}

// event counts one event of a stream and reports whether it has only the
// usage. Data that can't be read costs nothing.
func (m *meter) event(data []byte) (usageOnly bool) {
	var c chunk
	if json.Unmarshal(data, &c) != nil {
		return false
	}
	if c.Usage != nil {
		m.stated = c.Usage
	}
	for _, x := range c.Choices {
		if x.Text != "" || x.Delta.Content != "" || x.Delta.Reasoning != "" || len(x.Delta.Tools) > 0 {
			m.counted.OutputTokens++
		}
	}
	return c.Usage != nil && len(c.Choices) == 0
}

// body counts an answer that is not streamed.
func (m *meter) body(data []byte) {
	var c chunk
	if json.Unmarshal(data, &c) != nil {
		return
	}
	m.stated = c.Usage
	for _, x := range c.Choices {
		m.counted.OutputTokens += int64(len(bytes.Fields([]byte(x.Message.Content))))
	}
}

func (m *meter) usage() galenalatch.Usage {
	if m.stated != nil {
		return galenalatch.Usage{
			PromptTokens: max(0, m.stated.PromptTokens),
			OutputTokens: max(0, m.stated.CompletionTokens),
		}
	}
	return m.counted
}
