package slopes

import (
	"time"
)

// counters holds the counters of a fleet at one time, summed over its routers.
type counters struct {
	at                                        time.Time
	cpu                                       time.Duration
	peerBytes, messages                       int64
	reads, writes, platformBytes, reportBytes int64
	connections                               int
}

func (f *fleet) readCounters() counters {
	s := counters{at: time.Now(), cpu: cpuTime()}
	for _, r := range f.routers {
		for _, t := range r.router.PeerTraffic() {
			s.peerBytes += t.BytesOut
			s.messages += t.Sent
			if t.Connected {
				s.connections++
			}
		}
	}
	p := f.platform.Stats()
	s.reads, s.writes = p.Reads, p.Writes
	s.platformBytes, s.reportBytes = f.platformTraffic.bytes.Load(), f.reportTraffic.bytes.Load()
	return s
}

// observe returns the rates of the whole fleet during the window, by name. With
// withState it also returns the live bytes before the window.
func (f *fleet) observe(window time.Duration, withState bool) (map[string]float64, error) {
	v := make(map[string]float64)
	if withState {
		v["state B"] = liveBytes()
	}
	before := f.readCounters()
	if err := sleep(f.ctx, window); err != nil {
		return nil, err
	}
	after := f.readCounters()
	after.addRates(before, v)
	return v, nil
}

// addRates adds the rates since the counters before to v. The number of
// connections is not a rate.
func (s counters) addRates(before counters, v map[string]float64) {
	seconds := s.at.Sub(before.at).Seconds()
	v["cpu ms/s"] = float64((s.cpu - before.cpu).Microseconds()) / 1000 / seconds
	v["peer B/s"] = float64(s.peerBytes-before.peerBytes) / seconds
	v["messages/s"] = float64(s.messages-before.messages) / seconds
	v["platform reads/s"] = float64(s.reads-before.reads) / seconds
	v["platform writes/s"] = float64(s.writes-before.writes) / seconds
	v["platform B/s"] = float64(s.platformBytes-before.platformBytes) / seconds
	v["server B/s"] = float64(s.reportBytes-before.reportBytes) / seconds
	v["connections"] = float64(s.connections)
}
