// Package strict decodes JSON documents without tolerance: unknown and
// repeated fields, names in another case and data after the document are
// errors.
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
	if err := walk(data, reflect.TypeOf(v)); err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return describe(data, err)
	}
	return nil
}

// walk checks syntax, field names and trailing data. encoding/json keeps the
// last of two fields of one name and matches names in any case, and so would
// hide mistakes in a document written by hand.
func walk(data []byte, t reflect.Type) error {
	d := json.NewDecoder(bytes.NewReader(data))
	if err := value(d, t, "", 0); err != nil {
		return describe(data, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("line %d: data after the end of the document", line(data, d.InputOffset()))
	}
	return nil
}

// value reads a value that is decoded into the type t, or into something
// that is not known when t is nil.
func value(d *json.Decoder, t reflect.Type, path string, depth int) error {
	if depth > maxDepth {
		return fmt.Errorf("field %q is nested deeper than %d levels", path, maxDepth)
	}
	token, err := d.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		seen := make(map[string]bool)
		for d.More() {
			k, err := d.Token()
			if err != nil {
				return err
			}
			name, _ := k.(string)
			inner := strings.TrimPrefix(path+"."+name, ".")
			if seen[name] {
				return fmt.Errorf("field %q appears twice", inner)
			}
			seen[name] = true
			of, ok := member(t, name)
			if !ok {
				return fmt.Errorf("unknown field %q", inner)
			}
			if err := value(d, of, inner, depth+1); err != nil {
				return err
			}
		}
		_, err = d.Token()
	case json.Delim('['):
		for i := 0; d.More(); i++ {
			if err := value(d, element(t), fmt.Sprintf("%s[%d]", path, i), depth+1); err != nil {
				return err
			}
		}
		_, err = d.Token()
	}
	return err
}

// plain returns the type behind pointers, or nil when t decodes itself.
func plain(t reflect.Type) reflect.Type {
	for t != nil {
		if t.Implements(unmarshaler) || reflect.PointerTo(t).Implements(unmarshaler) {
			return nil
		}
		if t.Kind() != reflect.Pointer {
			break
		}
		t = t.Elem()
	}
	return t
}

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

func element(t reflect.Type) reflect.Type {
	if t = plain(t); t != nil && (t.Kind() == reflect.Slice || t.Kind() == reflect.Array) {
		return t.Elem()
	}
	return nil
}

// member returns the type of the field with the JSON name in the type t. It
// reports false when t is a struct without such a field.
func member(t reflect.Type, name string) (reflect.Type, bool) {
	t = plain(t)
	switch {
	case t == nil:
		return nil, true
	case t.Kind() == reflect.Map:
		return t.Elem(), true
	case t.Kind() != reflect.Struct:
		return nil, true
	}
	for _, f := range reflect.VisibleFields(t) {
		tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if tag == name && tag != "" && f.IsExported() {
			return f.Type, true
		}
	}
	return nil, false
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
	return err
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
