// Package document reads and writes the settings files of the programs: JSON
// documents that are decoded without tolerance and checked as a whole.
package document

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/galenalatch/galenalatch/internal/config/strict"
)

// MaxFaults bounds the faults that one error lists.
const MaxFaults = 20

// Checked are settings that find their own faults, each with its field, its
// value and what is allowed.
type Checked interface {
	Faults() []string
}

// Load reads the file at path and parses it. Errors begin with the kind of
// document.
func Load[T any](kind, path string, parse func([]byte) (T, error)) (T, error) {
	var none T
	data, err := os.ReadFile(path)
	if err != nil {
		return none, fmt.Errorf("%s: %w", kind, err)
	}
	v, err := parse(data)
	if err != nil {
		return none, fmt.Errorf("%s %s: %w", kind, path, err)
	}
	return v, nil
}

// Parse decodes a document over the defaults and checks the result.
func Parse[T Checked](data []byte, defaults T) (T, error) {
	var none T
	v := defaults
	if err := strict.Decode(data, &v); err != nil {
		return none, err
	}
	if err := Check(v); err != nil {
		return none, err
	}
	return v, nil
}

// Check returns an error that lists the first faults, or nil.
func Check(v Checked) error {
	faults := v.Faults()
	if len(faults) == 0 {
		return nil
	}
	return errors.New(strings.Join(faults[:min(MaxFaults, len(faults))], "\n"))
}

// String returns settings as an indented document.
func String(v any) string {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err.Error()
	}
	return string(data)
}
