package openai

import (
	"bytes"
	"encoding/json"
	"errors"
	"mime"
	"net/http"
	"strings"

	"github.com/galenalatch/galenalatch"
)

// Bounds of the fields that the router checks. The engine checks the others.
const (
	maxModelBytes = 128
	maxMessages   = 10_000
	maxTokens     = 10_000_000
	maxChoices    = 128
)

// bytesPerToken is a common mean for English text. It is precise enough for the
// estimate, because the true cost is charged at the end of the request.
const bytesPerToken = 4

var roles = []string{"system", "developer", "user", "assistant", "tool", "function"}

// chatRequest is a chat completion request. Fields that the router does not read
// are passed on unchanged.
type chatRequest struct {
	fields        map[string]json.RawMessage
	streamOptions map[string]json.RawMessage
	model         string
	stream        bool
	wantsUsage    bool
	// promptBytes is the length of the texts and tools of the prompt.
	promptBytes     int64
	maxOutputTokens int64
	choices         int64
}

// parseChatRequest decodes and checks a request. Errors are of KindBadRequest and
// state the field, its value and the allowed values.
func parseChatRequest(header http.Header, data []byte) (*chatRequest, error) {
	if v := header.Get("Content-Type"); v != "" {
		if t, _, err := mime.ParseMediaType(v); err != nil || t != "application/json" {
			return nil, galenalatch.KindBadRequest.Errorf("header Content-Type: %.60q is not allowed; allowed: application/json", v)
		}
	}
	if v := header.Get("Content-Encoding"); v != "" && v != "identity" {
		return nil, galenalatch.KindBadRequest.Errorf("header Content-Encoding: %.60q is not allowed; allowed: identity", v)
	}
	c := &chatRequest{choices: 1}
	var syntax *json.SyntaxError
	switch err := json.Unmarshal(data, &c.fields); {
	case errors.As(err, &syntax):
		return nil, galenalatch.KindBadRequest.Errorf("the body is not valid JSON at byte %d: %w", syntax.Offset, err)
	case err != nil || c.fields == nil:
		return nil, galenalatch.KindBadRequest.Errorf("the body: %s is not allowed; allowed: a JSON object", describeValue(bytes.TrimSpace(data)))
	}
	for _, check := range []func() error{c.readModel, c.readMessages, c.readStream, c.readTokens, c.readSampling} {
		if err := check(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// field decodes a field into v. It reports whether the field is present and
// not null.
func (c *chatRequest) field(name string, v any, allowed string) (bool, error) {
	raw, ok := c.fields[name]
	if !ok || string(raw) == "null" {
		return false, nil
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return false, invalidField(name, raw, allowed)
	}
	return true, nil
}

func invalidField(name string, raw json.RawMessage, allowed string) error {
	return galenalatch.KindBadRequest.Errorf("%s: %s is not allowed; allowed: %s", name, describeValue(raw), allowed)
}

// describeValue returns a short scalar unchanged, and only the type of other
// values, which may contain parts of the conversation.
func describeValue(raw json.RawMessage) string {
	switch {
	case len(raw) == 0:
		return "a missing field"
	case len(raw) <= 40 && raw[0] != '{' && raw[0] != '[':
		return string(raw)
	case raw[0] == '{':
		return "an object"
	case raw[0] == '[':
		return "an array"
	case raw[0] == '"':
		return "a long string"
	}
	return "a long number"
}

func (c *chatRequest) readModel() error {
	allowed := "a string of 1 to 128 characters"
	if _, err := c.field("model", &c.model, allowed); err != nil {
		return err
	}
	if c.model == "" || len(c.model) > maxModelBytes {
		return invalidField("model", c.fields["model"], allowed)
	}
	return nil
}

func (c *chatRequest) readMessages() error {
	allowed := "an array of 1 to 10000 objects with role and content"
	var messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if _, err := c.field("messages", &messages, allowed); err != nil {
		return err
	}
	if len(messages) == 0 || len(messages) > maxMessages {
		return invalidField("messages", c.fields["messages"], allowed)
	}
	for i, m := range messages {
		known := false
		for _, r := range roles {
			known = known || r == m.Role
		}
		if !known {
			return galenalatch.KindBadRequest.Errorf("messages[%d].role: %.40q is not allowed; allowed: %s", i, m.Role, strings.Join(roles, ", "))
		}
		n, ok := textLength(m.Content)
		if !ok {
			return galenalatch.KindBadRequest.Errorf("messages[%d].content: %s is not allowed; allowed: a string, an array of parts or null", i, describeValue(m.Content))
		}
		c.promptBytes += n
	}
	c.promptBytes += int64(len(c.fields["tools"]))
	return nil
}

// textLength returns the length in bytes of the texts in the content of a
// message. It reports false if the content has an unsupported type.
func textLength(content json.RawMessage) (int64, bool) {
	if len(content) == 0 || string(content) == "null" {
		return 0, true
	}
	var text string
	if json.Unmarshal(content, &text) == nil {
		return int64(len(text)), true
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(content, &parts) != nil {
		return 0, false
	}
	var n int64
	for _, p := range parts {
		n += int64(len(p.Text))
	}
	return n, true
}

func (c *chatRequest) readStream() error {
	if _, err := c.field("stream", &c.stream, "true or false"); err != nil {
		return err
	}
	given, err := c.field("stream_options", &c.streamOptions, "an object")
	if err != nil {
		return err
	}
	if given && !c.stream {
		return invalidField("stream_options", c.fields["stream_options"], "only together with stream true")
	}
	if raw, ok := c.streamOptions["include_usage"]; ok && string(raw) != "null" {
		if json.Unmarshal(raw, &c.wantsUsage) != nil {
			return invalidField("stream_options.include_usage", raw, "true or false")
		}
	}
	return nil
}

func (c *chatRequest) readTokens() error {
	for _, f := range []struct {
		name    string
		value   *int64
		high    int64
		allowed string
	}{
		{"max_tokens", &c.maxOutputTokens, maxTokens, "an integer from 1 to 10000000"},
		{"max_completion_tokens", &c.maxOutputTokens, maxTokens, "an integer from 1 to 10000000"},
		{"n", &c.choices, maxChoices, "an integer from 1 to 128"},
	} {
		given, err := c.field(f.name, f.value, f.allowed)
		if err != nil {
			return err
		}
		if given && (*f.value < 1 || *f.value > f.high) {
			return invalidField(f.name, c.fields[f.name], f.allowed)
		}
	}
	return nil
}

func (c *chatRequest) readSampling() error {
	for _, f := range []struct {
		name      string
		low, high float64
		allowed   string
	}{
		{"temperature", 0, 2, "a number from 0 to 2"},
		{"top_p", 0, 1, "a number from 0 to 1"},
		{"frequency_penalty", -2, 2, "a number from -2 to 2"},
		{"presence_penalty", -2, 2, "a number from -2 to 2"},
	} {
		var v float64
		given, err := c.field(f.name, &v, f.allowed)
		if err != nil {
			return err
		}
		if given && (v < f.low || v > f.high) {
			return invalidField(f.name, c.fields[f.name], f.allowed)
		}
	}
	return nil
}

// estimate returns the expected cost in service units, from 1 to the MaxCost of
// the pool. It returns 0 if the caller set no output limit, since the cost cannot
// be estimated from the prompt alone.
func (c *chatRequest) estimate(p galenalatch.Pool) int64 {
	if c.maxOutputTokens == 0 {
		return 0
	}
	u := galenalatch.Usage{
		PromptTokens: (c.promptBytes + bytesPerToken - 1) / bytesPerToken,
		OutputTokens: c.maxOutputTokens * c.choices,
	}
	return max(1, min(u.Units(p), p.MaxCost))
}

// encode returns the request body for the engine. It is encoded from the decoded
// fields, so that the engine reads the same values as the router. Streams always
// request the usage, which is needed for the charge.
func (c *chatRequest) encode() ([]byte, error) {
	if c.stream {
		options := map[string]json.RawMessage{}
		for k, v := range c.streamOptions {
			options[k] = v
		}
		options["include_usage"] = json.RawMessage("true")
		raw, err := json.Marshal(options)
		if err != nil {
			return nil, galenalatch.KindInternal.Errorf("encode stream_options: %w", err)
		}
		c.fields["stream_options"] = raw
	}
	data, err := json.Marshal(c.fields)
	if err != nil {
		return nil, galenalatch.KindInternal.Errorf("encode the request: %w", err)
	}
	return data, nil
}
