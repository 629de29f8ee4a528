package openai

import (
	"bytes"
	"encoding/json"
)

// isStreamEnd reports whether the event marks the end of a stream. It is not
// passed on: the writer sends its own end when the answer is complete.
func isStreamEnd(event []byte) bool {
	return bytes.Equal(bytes.TrimSpace(event), []byte("[DONE]"))
}

// isUsageOnly reports whether the chunk contains the usage and no choices.
func isUsageOnly(data []byte) bool {
	if !bytes.Contains(data, []byte(`"usage"`)) {
		return false
	}
	var c struct {
		Choices []json.RawMessage `json:"choices"`
		Usage   *json.RawMessage  `json:"usage"`
	}
	return json.Unmarshal(data, &c) == nil && len(c.Choices) == 0 && c.Usage != nil
}
