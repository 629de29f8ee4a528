// Package rendezvous orders candidates by rendezvous hashing, so that every
// router computes the same home cells, lease candidates, server shares and
// relays without exchanging messages.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hash ranks candidates for keys. The zero value is ready for use.
type Hash struct {
	// Seed makes separate uses of the same keys independent of each other.
	Seed string
}

// Rank returns the candidates in order of preference for the key. The order
// depends only on the seed, the key and the set of candidates: removing one
// candidate does not change the order of the others.
func (h Hash) Rank(key string, candidates []string) []string {
	type score struct {
		name string
		sum  uint64
	}
	scores := make([]score, 0, len(candidates))
	for _, c := range candidates {
		scores = append(scores, score{c, h.sum(key, c)})
	}
	slices.SortFunc(scores, func(a, b score) int {
		return cmp.Or(cmp.Compare(b.sum, a.sum), cmp.Compare(a.name, b.name))
	})
	ranked := make([]string, len(scores))
	for i, s := range scores {
		ranked[i] = s.name
	}
	return ranked
}

func (h Hash) sum(key, candidate string) uint64 {
	d := xxhash.New()
	for _, s := range []string{h.Seed, "\x00", key, "\x00", candidate} {
		// A digest never returns an error.
		_, _ = d.WriteString(s)
	}
	return mix(d.Sum64())
}

// mix is the finalizer of splitmix64. It spreads the sums of keys that differ
// in few bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
