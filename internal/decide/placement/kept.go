package placement

import "math"

// minTrust is the share of first tokens that must come as quickly as kept parts predict
// for the predicted wait to count on kept parts.
const minTrust = 0.25

// kept is what a server is expected to keep of a prompt. All fields are numbers of
// tokens at the start of the prompt.
type kept struct {
	// known are those that this router has sent to the server itself.
	known int
	// shared are those that the server keeps if it is a home of the prompt and other
	// routers have sent them.
	shared int
	// expected are those on which the predicted wait counts: the more likely outcome.
	// A mean would be right for no request.
	expected int
	// credited are those that count in the choice.
	credited int
}

// keptTokens returns what the server is expected to keep of the prompt when the
// request reaches it.
func (m *engineModel) keptTokens(s *server, a Request, keys []uint64, rank int) kept {
	var k kept
	memory := m.partMemory(s, m.capacity)
	if n := s.cache.Parts(keys, memory); n > 0 {
		k.known = min(sumTokens(a.Prompt[:n]), m.size)
	}
	k.expected, k.credited = k.known, k.known
	if rank == noHome || len(a.Prompt) < 2 {
		return k
	}
	k.shared = min(sumTokens(a.Prompt[:len(a.Prompt)-1]), memory, m.size)
	if k.shared <= k.known {
		return k
	}
	credit := homeCredits[rank]
	if trust := m.trust(s); trust < minTrust {
		credit *= trust
	} else if rank == 0 {
		k.expected = k.shared
	}
	k.credited += int(credit * float64(k.shared-k.known))
	return k
}

// partMemory returns the number of tokens that running requests leave for kept parts
// at a server with a capacity, where 0 means that it is not known.
func (w *work) partMemory(s *server, capacity int) int {
	if capacity <= 0 {
		return math.MaxInt
	}
	running := float64(s.running+s.remote.Running) * w.size.value
	return capacity - int(min(running, float64(capacity)))
}
