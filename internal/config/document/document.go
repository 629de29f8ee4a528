// Package document reads and prints the settings files of the programs: JSON
// documents that are decoded strictly and validated as a whole.
package document

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/galenalatch/galenalatch/internal/config/strict"
)

// MaxFaults limits the faults that one error lists.
const MaxFaults = 20

// Checked is implemented by settings that can validate themselves.
type Checked interface {
	// Faults describes each fault with its field, its value and what is
	// allowed. It returns none for valid settings.
	Faults() []string
}

// Load reads the file at path and parses it with parse. Errors begin with kind,
// the kind of the document.
func Load[T any](kind, path string, parse func([]byte) (T, error)) (T, error) {
	var zero T
	data, err := os.ReadFile(path)
	if err != nil {
		return zero, fmt.Errorf("%s: %w", kind, err)
	}
	v, err := parse(data)
	if err != nil {
		return zero, fmt.Errorf("%s %s: %w", kind, path, err)
	}
	return v, nil
}

// Parse decodes a document strictly, takes the fields that it leaves out from
// defaults, and validates the result.
func Parse[T Checked](data []byte, defaults T) (T, error) {
	var zero T
	v := defaults
	if err := strict.Decode(data, &v); err != nil {
		return zero, err
	}
	if err := Check(v); err != nil {
		return zero, err
	}
	return v, nil
}

// Check returns nil, or an error that lists the first MaxFaults faults of v, one
// on each line.
func Check(v Checked) error {
	faults := v.Faults()
	if len(faults) == 0 {
		return nil
	}
	return errors.New(strings.Join(faults[:min(MaxFaults, len(faults))], "\n"))
}

// String returns v as an indented JSON document, or the text of the error if v
// cannot be encoded.
func String(v any) string {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err.Error()
	}
	return string(data)
}
