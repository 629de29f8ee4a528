package placement

import "time"

// queueWait is the predicted time for which a request waits at an engine before its
// own prefill begins.
type queueWait struct {
	// backlog is the prefill time of the requests before it.
	backlog time.Duration
	// late is by how much first tokens came later than predicted.
	late time.Duration
	// slot is the time until a slot is free. full is set when none is free now.
	slot time.Duration
	full bool
}

func (w queueWait) total() time.Duration {
	return w.backlog + w.late + w.slot
}

// queueWait returns the predicted wait of a request that reaches the server now.
func (s *server) queueWait(now time.Time) queueWait {
	busy := s.running + s.remote.Running
	w := queueWait{backlog: s.remote.Prefill, slot: s.slotWait(busy), full: busy >= s.Slots}
	if len(s.prefilling) > 0 {
		w.backlog += s.backlog(now)
	}
	if len(s.prefilling) > 0 || s.meanLateness > 0 {
		w.late = s.lateness(now)
	}
	return w
}
