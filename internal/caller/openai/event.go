package openai

import (
	"bytes"
	"encoding/json"
)

// isDone reports whether the event marks the end of a stream. The end is
// sent by the handler, when the whole answer was passed on.
func isDone(event []byte) bool {
	return bytes.Equal(bytes.TrimSpace(event), []byte("[DONE]"))
}

// onlyUsage reports whether the chunk carries the usage and no choice.
func onlyUsage(data []byte) bool {
	if !bytes.Contains(data, []byte(`"usage"`)) {
		return false
	}
	var c struct {
		Choices []json.RawMessage `json:"choices"`
		Usage   *json.RawMessage  `json:"usage"`
	}
	return json.Unmarshal(data, &c) == nil && len(c.Choices) == 0 && c.Usage != nil
}
