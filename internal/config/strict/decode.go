// Package strict decodes JSON documents without tolerance: unknown and
// repeated fields and data after the document are errors.
package strict

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/galenalatch/galenalatch/internal/config/duration"
)

// maxDepth bounds the nesting of a document.
const maxDepth = 64

// Decode decodes the JSON document data into v. Errors name the field and,
// for syntax errors, the line.
func Decode(data []byte, v any) error {
	if err := walk(data); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return describe(data, err)
	}
	return nil
}

// walk checks syntax, repeated field names and trailing data.
// encoding/json keeps the last of two fields of one name, and so would hide
// a mistake in a document written by hand.
func walk(data []byte) error {
	d := json.NewDecoder(bytes.NewReader(data))
	if err := value(d, "", 0); err != nil {
		return describe(data, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("line %d: data after the end of the document", line(data, d.InputOffset()))
	}
	return nil
}

func value(d *json.Decoder, path string, depth int) error {
	if depth > maxDepth {
		return fmt.Errorf("field %q is nested deeper than %d levels", path, maxDepth)
	}
	t, err := d.Token()
	if err != nil {
		return err
	}
	switch t {
	case json.Delim('{'):
		seen := make(map[string]bool)
		for d.More() {
			k, err := d.Token()
			if err != nil {
				return err
			}
			name, _ := k.(string)
			inner := strings.TrimPrefix(path+"."+name, ".")
			// encoding/json matches names without regard to case.
			if folded := strings.ToLower(name); seen[folded] {
				return fmt.Errorf("field %q appears twice", inner)
			} else {
				seen[folded] = true
			}
			if err := value(d, inner, depth+1); err != nil {
				return err
			}
		}
		_, err = d.Token()
	case json.Delim('['):
		for i := 0; d.More(); i++ {
			if err := value(d, fmt.Sprintf("%s[%d]", path, i), depth+1); err != nil {
				return err
			}
		}
		_, err = d.Token()
	}
	return err
}

func describe(data []byte, err error) error {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return errors.New("the document is empty or ends early")
	case errors.As(err, &syntax):
		return fmt.Errorf("line %d: %w", line(data, syntax.Offset), err)
	case errors.As(err, &kind) && kind.Field != "":
		return fmt.Errorf("field %q: a JSON %s is not allowed, want %s", kind.Field, kind.Value, form(kind.Type))
	case errors.As(err, &kind):
		return fmt.Errorf("a JSON %s is not allowed here, want an object", kind.Value)
	}
	return errors.New(strings.TrimPrefix(err.Error(), "json: "))
}

// form words the JSON form of a type.
func form(t reflect.Type) string {
	if t == reflect.TypeFor[duration.Duration]() {
		return "a duration such as \"4s\" or \"250ms\""
	}
	switch k := t.Kind(); {
	case k == reflect.String:
		return "a string"
	case k == reflect.Bool:
		return "true or false"
	case k == reflect.Slice:
		return "an array"
	case k >= reflect.Int && k <= reflect.Uintptr:
		return "an integer"
	}
	return "an object"
}

func line(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(offset, int64(len(data)))], []byte("\n"))
}
