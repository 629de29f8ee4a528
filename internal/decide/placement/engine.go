package placement

import "time"

// engineModel predicts the engines of a service for one request.
type engineModel struct {
	*calibration
	*work
	delay delay
	// capacity is the memory of an engine in tokens, or 0 if that is not known.
	capacity int
	// size is the number of tokens of the prompt, unkept the prefill time of all.
	size   int
	unkept time.Duration
}

// engineModel returns the model for a request. It reports false if the service has no
// engines.
func (t *Table) engineModel(r Request) (engineModel, bool) {
	settings := t.settings[r.Service]
	if !settings.Engine {
		return engineModel{}, false
	}
	m := engineModel{calibration: t.calibration(r.Service), work: t.serviceWork(r.Service), capacity: settings.CacheTokens, size: r.promptSize()}
	m.delay = m.work.delay()
	m.unkept = m.prefillTime(t.prefillTime(m.size, m.size))
	return m, true
}

// predict returns the estimate for a server. Its score is the time to the first token,
// with the parts that are credited to the server, and the delays that the prefill causes
// to the requests behind it and to the streams that run.
func (m *engineModel) predict(t *Table, now time.Time, s *server, a Request, keys []uint64, rank int) estimate {
	k := m.keptTokens(s, a, keys, rank)
	slowdown := s.load.Slowdown(now)
	e := estimate{cached: k.expected, prefill: slowed(m.prefill(t, k.expected), slowdown), overhead: max(m.firstToken-t.FirstToken, 0)}
	wait := s.queueWait(now)
	e.late, e.queue = wait.late, wait.total()
	e.wait = e.queue + slowed(m.firstToken, slowdown) + e.prefill
	// The speed of a server counts in its queue and in the predicted wait alone. A prompt
	// that avoids its home for the home's speed is read once more elsewhere.
	credited := m.prefill(t, k.credited)
	e.score = e.queue + m.firstToken + time.Duration((1+streamDelay)*float64(credited)) + m.delay.of(wait.backlog, credited)
	return e
}

// prefill returns the predicted prefill time of the prompt at a server that keeps a
// number of its tokens.
func (m *engineModel) prefill(t *Table, kept int) time.Duration {
	if kept == 0 {
		return m.unkept
	}
	return m.prefillTime(t.prefillTime(m.size, m.size-kept))
}

// streamDelay is the part of its time by which a prefill counts for the streams that
// run on the engine. Their tokens come later, but in time for most callers.
const streamDelay = 0.5

// minSaved is the least difference between the two predictions of an expectation
// for which the first token tells them apart.
const minSaved = 40 * time.Millisecond

// expect returns the expectation for a request at a home. A first token tells nothing
// when the saved prefill is short or when the wait is longer.
func (m *engineModel) expect(t *Table, e estimate, k kept, rank int, w queueWait, slowdown float64) expectation {
	none := expectation{rank: noHome}
	if rank == noHome || k.shared <= k.known || w.full {
		return none
	}
	x := expectation{rank: rank, nominalKept: t.prefillTime(m.size, m.size-k.shared), nominalRead: t.prefillTime(m.size, m.size-k.known)}
	rest := e.wait - e.prefill
	x.kept, x.read = rest+slowed(m.prefillTime(x.nominalKept), slowdown), rest+slowed(m.prefillTime(x.nominalRead), slowdown)
	if saved := x.read - x.kept; saved < minSaved || w.total() > saved/2 {
		return none
	}
	return x
}

// nominalSample returns the prefill time at the configured rate of a request and of
// those queued before it, for the calibration, or 0 if that is not known well enough. A
// first home counts as keeping the shared parts, since misses make first tokens only
// later. At another one the first token tells, and the sample excludes its own prefill.
func (m *engineModel) nominalSample(t *Table, x expectation, k kept, rank int, w queueWait, slowdown float64) time.Duration {
	if w.full {
		return 0
	}
	backlog := m.nominal(slowed(w.backlog, 1/slowdown))
	fresh := m.size - k.known
	switch {
	case rank == 0:
		fresh = m.size - max(k.shared, k.known)
	case rank != noHome && x.rank != noHome:
		return backlog
	case rank != noHome && k.shared > k.known:
		return 0
	}
	return backlog + t.prefillTime(m.size, fresh)
}
