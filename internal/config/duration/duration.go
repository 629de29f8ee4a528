// Package duration holds a duration that settings files write as a string
// such as "4s".
package duration

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration with the JSON form of time.ParseDuration.
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String implements fmt.Stringer.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("a duration must be a string such as \"4s\", not %.40s", data)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("duration %.40q is not a number with a unit such as \"4s\" or \"250ms\"", s)
	}
	*d = Duration(v)
	return nil
}
