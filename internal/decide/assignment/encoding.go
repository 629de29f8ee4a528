package assignment

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// planForm is the form of a plan in the store.
type planForm struct {
	Edition uint64      `json:"edition"`
	Groups  []groupForm `json:"groups"`
}

// groupForm is the form of the slots that were assigned to a version at the same time. Slots
// has a bit for each of them. AtMillis is the time by the store's clock.
type groupForm struct {
	Version  string `json:"version"`
	AtMillis int64  `json:"atMillis"`
	Settled  bool   `json:"settled,omitempty"`
	Slots    Slots  `json:"slots"`
}

// Encode returns the form of the plan in the store. An error is one of the JSON encoder.
func (p Plan) Encode() ([]byte, error) {
	form := planForm{Edition: p.Edition}
	groups := make(map[slot]int)
	for i, s := range p.slots {
		k, ok := groups[s]
		if !ok {
			k = len(form.Groups)
			groups[s] = k
			form.Groups = append(form.Groups, groupForm{Version: s.version, AtMillis: s.at.Milliseconds(), Settled: s.settled})
		}
		form.Groups[k].Slots |= 1 << i
	}
	return json.Marshal(form)
}

var errSlots = errors.New("a slot has no version, or several")

// Decode returns the plan with a form. It returns an error for a form that is no plan.
func Decode(b []byte) (Plan, error) {
	var form planForm
	if err := json.Unmarshal(b, &form); err != nil {
		return Plan{}, fmt.Errorf("plan of versions: %w", err)
	}
	p := Plan{Edition: form.Edition}
	assigned := Slots(0)
	for _, g := range form.Groups {
		if assigned&g.Slots != 0 {
			return Plan{}, fmt.Errorf("plan of versions: %w", errSlots)
		}
		assigned |= g.Slots
		for i := range p.slots {
			if g.Slots.has(i) {
				p.slots[i] = slot{version: g.Version, at: time.Duration(g.AtMillis) * time.Millisecond, settled: g.Settled}
			}
		}
	}
	if p.Edition == 0 || assigned != ^Slots(0) {
		return Plan{}, fmt.Errorf("plan of versions: %w", errSlots)
	}
	return p, nil
}
