package slopes

import (
	"time"
)

// sums are the counters of a fleet.
type sums struct {
	at                           time.Time
	cpu                          time.Duration
	peerBytes, messages          int64
	reads, writes, calls, report int64
	connections                  int
}

func (f *fleet) sums() sums {
	s := sums{at: time.Now(), cpu: cpu()}
	for _, r := range f.routers {
		for _, t := range r.router.Traffic() {
			s.peerBytes += t.Out
			s.messages += t.Sent
			if t.Connected {
				s.connections++
			}
		}
	}
	p := f.platform.Stats()
	s.reads, s.writes = p.Reads, p.Writes
	s.calls, s.report = f.calls.bytes.Load(), f.reports.bytes.Load()
	return s
}

// observe returns the rates of the whole fleet during the window.
func (f *fleet) observe(window time.Duration, state bool) (map[string]float64, error) {
	v := make(map[string]float64)
	if state {
		v["state B"] = live()
	}
	before := f.sums()
	if err := pause(f.ctx, window); err != nil {
		return nil, err
	}
	after := f.sums()
	after.rates(before, v)
	return v, nil
}

func (s sums) rates(before sums, v map[string]float64) {
	seconds := s.at.Sub(before.at).Seconds()
	v["cpu ms/s"] = float64((s.cpu - before.cpu).Microseconds()) / 1000 / seconds
	v["peer B/s"] = float64(s.peerBytes-before.peerBytes) / seconds
	v["messages/s"] = float64(s.messages-before.messages) / seconds
	v["platform reads/s"] = float64(s.reads-before.reads) / seconds
	v["platform writes/s"] = float64(s.writes-before.writes) / seconds
	v["platform B/s"] = float64(s.calls-before.calls) / seconds
	v["server B/s"] = float64(s.report-before.report) / seconds
	v["connections"] = float64(s.connections)
}
