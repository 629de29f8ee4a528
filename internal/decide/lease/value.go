package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/galenalatch/galenalatch"
)

// maxPredecessors limits the earlier holders in a row.
const maxPredecessors = 8

// Value is the stored value of a lease's row.
type Value struct {
	Holder galenalatch.RouterID `json:"holder"`
	Start  string               `json:"start"`
	Epoch  galenalatch.Epoch    `json:"epoch"`
	// Write is the unique id of the write that stored the row.
	Write string `json:"write"`
	// Released is set when the holder has stopped. Its successor may take
	// over at once.
	Released  bool                 `json:"released"`
	Successor galenalatch.RouterID `json:"successor,omitempty"`
	// Unconfirmed are earlier holders that may still grant requests.
	Unconfirmed []Predecessor `json:"unconfirmed,omitempty"`
}

// Predecessor is an earlier holder that neither released the lease nor was
// confirmed to have stopped.
type Predecessor struct {
	// Router is empty for a merged entry that stands for several holders,
	// because there were more than maxPredecessors. Such an entry cannot be
	// confirmed.
	Router galenalatch.RouterID `json:"router"`
	Start  string               `json:"start"`
	Epoch  galenalatch.Epoch    `json:"epoch"`
	// RemainingMillis is how long, in milliseconds after the row was written,
	// the holder could still grant requests.
	RemainingMillis int64 `json:"remainingMillis"`
}

func decode(data []byte) (Value, error) {
	var v Value
	if err := json.Unmarshal(data, &v); err != nil {
		return Value{}, err
	}
	if v.Epoch == 0 || v.Write == "" {
		return Value{}, fmt.Errorf("lease row has no epoch or no write id")
	}
	return v, nil
}

// encode returns the value as JSON. No field of a Value can make the
// encoding fail.
func (v Value) encode() []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return data
}

// inheritPredecessors returns the earlier holders that may still grant
// requests when the router takes over the row at the time now. Their
// remaining times are counted from now, which can only make them longer.
func inheritPredecessors(now time.Time, row Value, limit time.Duration) []predecessor {
	var list []predecessor
	for _, p := range row.Unconfirmed {
		list = append(list, predecessor{p, now.Add(time.Duration(p.RemainingMillis) * time.Millisecond)})
	}
	if !row.Released {
		list = append(list, predecessor{
			Predecessor{Router: row.Holder, Start: row.Start, Epoch: row.Epoch}, now.Add(limit)})
	}
	for len(list) > maxPredecessors {
		merged := predecessor{until: list[0].until}
		if list[1].until.After(merged.until) {
			merged.until = list[1].until
		}
		list = append([]predecessor{merged}, list[2:]...)
	}
	return list
}

// remainingPredecessors returns the predecessors that may still grant
// requests at the time now, in the form that is stored in a row.
func remainingPredecessors(now time.Time, list []predecessor) []Predecessor {
	var rs []Predecessor
	for _, p := range list {
		if now.Before(p.until) {
			p.RemainingMillis = p.until.Sub(now).Milliseconds() + 1
			rs = append(rs, p.Predecessor)
		}
	}
	return rs
}
