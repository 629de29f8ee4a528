package host

import "github.com/galenalatch/galenalatch"

// checkMemory returns an error if no server of the service can hold the prompt of the
// request. Servers reject such a request as if they were full, one after the other, and
// its caller would wait for nothing.
func (t *transaction) checkMemory() error {
	memory := t.configuration.Services[t.decision.Service].CacheTokens
	size := t.call.PromptTokens
	for _, part := range t.call.Prompt {
		size = max(size, part.Tokens)
	}
	if memory <= 0 || size <= memory {
		return nil
	}
	return galenalatch.KindServerUnreachable.Errorf("the prompt has %d tokens, and a server of service %s holds %d", size, t.decision.Service, memory)
}
