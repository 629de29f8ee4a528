package quarantine

import (
	"time"

	"github.com/galenalatch/galenalatch"
)

// suspect is a prompt part with the crashes that it may have caused.
type suspect struct {
	// name is the id of the part, if this router has seen a request with it.
	name string
	// crashes holds the state of each crash by the key of the process.
	crashes map[uint32]galenalatch.CrashState
	// newest is when the newest crash or trial was seen.
	newest time.Time
	trials int
	held   bool
	// changed is set until the other routers have been told.
	changed bool
}

// open returns the number of crashes that are not cleared.
func (s *suspect) open() int {
	n := 0
	for _, state := range s.crashes {
		if state != galenalatch.CrashCleared {
			n++
		}
	}
	return n
}

func (s *suspect) cleared() bool {
	return s.open() == 0
}

// trialDue reports whether it is time to let a request with a held part through.
func (s *suspect) trialDue(now time.Time) bool {
	return s.trials < maxTrials && now.Sub(s.newest) >= firstTrial<<s.trials
}
