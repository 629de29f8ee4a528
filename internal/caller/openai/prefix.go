package openai

import "github.com/cespare/xxhash/v2"

// prefixBytes is the length of the beginning of the messages that requests
// must share to count as having the same prefix. Shorter prompts are read
// faster than a cache of them is worth.
const prefixBytes = 512

// prefix identifies the beginning of the prompt, or is 0 for a short one.
func (c *chat) prefix() uint64 {
	raw := c.fields["messages"]
	if len(raw) < prefixBytes {
		return 0
	}
	d := xxhash.NewWithSeed(uint64(len(c.model)))
	// A digest never returns an error.
	_, _ = d.WriteString(c.model)
	_, _ = d.Write(raw[:prefixBytes])
	return d.Sum64()
}
