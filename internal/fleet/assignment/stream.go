package assignment

import (
	"context"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/assignment"
)

// lateResume is how much later than its caller waits an attempt to resume a stream may arrive.
const lateResume = time.Second

// maxWait bounds the wait of a caller that counts: a caller may announce any.
const maxWait = 2 * time.Minute

// endedTime is how long after its end a complete stream counts as left: its last events may
// not have reached its caller.
const endedTime = time.Second

// Stream is one attempt of a caller to begin or resume a stream, which may go to servers of
// one version only.
type Stream struct {
	// Service is that of the servers, Version theirs.
	Service string
	Version string

	c      *Controller
	record *record
}

// Attempt is an attempt of a caller to begin or resume a stream.
type Attempt struct {
	Service string
	// ID is that of the stream: of the attempt that brought its first event, or of this one.
	// It is empty for a stream that is resumed and whose caller did not tell.
	ID galenalatch.RequestID
	// Wait is for how long the caller waits from now on; 0 if it did not tell.
	Wait time.Duration
}

// Begin returns a new stream at the version of the plan. The caller must end it.
func (c *Controller) Begin(now time.Time, a Attempt) (*Stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.services[a.Service]
	if !ok || s.plan.Edition == 0 {
		return nil, galenalatch.KindCatalogueStale.Errorf("the versions of service %s were not read yet", a.Service)
	}
	version := s.plan.Version(a.ID)
	if r, ok := s.streams[a.ID]; ok && r.left(now) {
		version = r.version
	}
	return s.open(now, a, version), nil
}

// Resume returns a stream at the version that has begun it, which is refused if that is
// unknown. It reads the plans if this router has not had the stream itself. The caller must end
// the stream.
func (c *Controller) Resume(ctx context.Context, a Attempt) (*Stream, error) {
	if s, ok := c.resumeOwn(time.Now(), a); ok {
		return s, nil
	}
	if err := c.confirm(ctx, a.Service); err != nil {
		return nil, err
	}
	return c.resumePlanned(time.Now(), a)
}

// resumeOwn resumes a stream that this router has had.
func (c *Controller) resumeOwn(now time.Time, a Attempt) (*Stream, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.services[a.Service]
	if !ok || a.ID == "" {
		return nil, false
	}
	r, ok := s.streams[a.ID]
	if !ok || !r.left(now) {
		return nil, false
	}
	return s.open(now, a, r.version), true
}

// resumePlanned resumes a stream whose version follows from the plan.
func (c *Controller) resumePlanned(now time.Time, a Attempt) (*Stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.services[a.Service]
	if !ok {
		return nil, galenalatch.KindCatalogueStale.Errorf("the versions of service %s were not read yet", a.Service)
	}
	version, ok := s.plan.Began(a.ID, s.knowledge(now))
	if !ok {
		return nil, galenalatch.KindServerUnreachable.Errorf("it is unknown which version of service %s has begun stream %.64q", a.Service, a.ID)
	}
	return s.open(now, a, version), nil
}

// left reports whether the stream is being served or may be resumed.
func (r *record) left(now time.Time) bool { return r.open > 0 || now.Before(r.until) }

// open records an attempt.
func (s *service) open(now time.Time, a Attempt, version string) *Stream {
	r, ok := s.streams[a.ID]
	if !ok || !r.left(now) {
		r = &record{version: version, slot: assignment.SlotOf(a.ID)}
		s.streams[a.ID] = r
	}
	r.open++
	wait := s.life
	if a.Wait > 0 {
		wait = min(a.Wait, maxWait) + lateResume
		s.life = max(s.life, wait)
	}
	if until := now.Add(wait); until.After(r.resumable) {
		r.resumable = until
	}
	return &Stream{Service: s.name, Version: version, c: s.c, record: r}
}

// Ending tells how an attempt has ended.
type Ending int

// The endings of an attempt.
const (
	// Unsent means that the caller got no event.
	Unsent Ending = iota
	// Complete means that the caller was sent the whole stream.
	Complete
	// Broken means that the caller may resume the stream.
	Broken
)

// End ends the attempt. It does nothing on a nil pointer.
func (s *Stream) End(now time.Time, e Ending) {
	if s == nil {
		return
	}
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	r := s.record
	r.open--
	until := now
	switch e {
	case Complete:
		until = now.Add(endedTime)
	case Broken:
		until = r.resumable
	}
	if until.After(r.until) {
		r.until = until
	}
}
