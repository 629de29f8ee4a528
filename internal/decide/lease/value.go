package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/galenalatch/galenalatch"
)

// maxPredecessors bounds the earlier holders that a row names.
const maxPredecessors = 8

// Value is the value of a lease's row.
type Value struct {
	Holder galenalatch.RouterID `json:"holder"`
	Start  string               `json:"start"`
	Epoch  galenalatch.Epoch    `json:"epoch"`
	// Write is the unique id of the write.
	Write string `json:"write"`
	// Released says that the holder has stopped. The successor may take over
	// at once.
	Released  bool                 `json:"released"`
	Successor galenalatch.RouterID `json:"successor,omitempty"`
	// Unconfirmed are earlier holders that may still act.
	Unconfirmed []Predecessor `json:"unconfirmed,omitempty"`
}

// Predecessor is an earlier holder that neither released the lease nor was
// confirmed to have stopped.
type Predecessor struct {
	// Router is empty for several holders that are counted as one, because
	// there were too many. They cannot be confirmed.
	Router galenalatch.RouterID `json:"router"`
	Start  string               `json:"start"`
	Epoch  galenalatch.Epoch    `json:"epoch"`
	// RemainingMillis is how long the holder could still act when the row
	// was written.
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

// encode returns the value as JSON. All its fields can be encoded.
func (v Value) encode() []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return data
}

// inherit returns the earlier holders that may still act when the router
// takes over the row at the time now. Their remaining times start anew, which
// can only make them longer.
func inherit(now time.Time, row Value, limit time.Duration) []predecessor {
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

// remaining returns the earlier holders as the row names them at the time
// now.
func remaining(now time.Time, list []predecessor) []Predecessor {
	var rs []Predecessor
	for _, p := range list {
		if now.Before(p.until) {
			p.RemainingMillis = p.until.Sub(now).Milliseconds() + 1
			rs = append(rs, p.Predecessor)
		}
	}
	return rs
}
