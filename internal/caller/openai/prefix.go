package openai

import "github.com/cespare/xxhash/v2"

// prefixBytes is the length of the prefix of the messages that is hashed. For
// shorter prompts a prompt cache saves too little time.
const prefixBytes = 512

// prefixHash returns a hash of the model and the first prefixBytes of the
// messages, or 0 if the messages are shorter.
func (c *chatRequest) prefixHash() uint64 {
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
