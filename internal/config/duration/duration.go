// Package duration defines a duration that is a string such as "4s" in JSON.
package duration

import (
	"encoding/json"
	"fmt"
	"reflect"
	"time"
)

// Duration is a time.Duration whose JSON form is a string in the syntax of
// time.ParseDuration.
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String implements fmt.Stringer.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON implements json.Unmarshaler. Its errors are of type
// *json.UnmarshalTypeError, so that the decoder adds the name of the field.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err == nil {
		if v, err := time.ParseDuration(s); err == nil {
			*d = Duration(v)
			return nil
		}
	}
	return &json.UnmarshalTypeError{Value: fmt.Sprintf("value %.40s", data), Type: reflect.TypeFor[Duration]()}
}
