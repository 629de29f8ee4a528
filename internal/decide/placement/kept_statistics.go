package placement

// KeptStatistics tells how well the expected kept parts of prompts agree with first
// tokens.
type KeptStatistics struct {
	// HomeHits are the shares of requests that found their shared parts kept, by the
	// rank of the home.
	HomeHits [homeCount]float64
	// PrefillPredicted and PrefillSeen are means in seconds over the newest requests
	// whose first token tells.
	PrefillPredicted float64
	PrefillSeen      float64
	// Forgetful is the number of servers that keep the shared parts of fewer than half
	// of the requests for which they are the first home.
	Forgetful int
}

// KeptStatistics returns the statistics of the engines of a service.
func (t *Table) KeptStatistics(service string) KeptStatistics {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.serviceWork(service)
	k := KeptStatistics{PrefillPredicted: w.prefillPredicted.value, PrefillSeen: w.prefillSeen.value}
	for i, rate := range w.homes {
		k.HomeHits[i] = rate.Mean(homeCredits[i])
	}
	for _, s := range t.services[service] {
		if s.hits.Mean(homeCredits[0]) < 0.5 {
			k.Forgetful++
		}
	}
	return k
}
