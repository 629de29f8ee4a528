// Package strict decodes JSON documents strictly: unknown and duplicate fields,
// names in another case and data after the document are errors.
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

// maxDepth limits the nesting of a document.
const maxDepth = 64

// Decode decodes the JSON document data into the value that v points to. Errors
// name the field or, for syntax errors, the line.
func Decode(data []byte, v any) error {
	if err := checkDocument(data, reflect.TypeOf(v)); err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return describe(data, err)
	}
	return nil
}

// checkDocument checks syntax, field names and trailing data. encoding/json keeps
// the last of two fields of the same name and ignores case in names, which would
// hide mistakes in a document that was written by hand.
func checkDocument(data []byte, t reflect.Type) error {
	d := json.NewDecoder(bytes.NewReader(data))
	if err := checkValue(d, t, "", 0); err != nil {
		return describe(data, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("line %d: data after the end of the document", lineNumber(data, d.InputOffset()))
	}
	return nil
}

// checkValue checks the next value of d, which is to be decoded into the type t.
// With t nil, it accepts any field names.
func checkValue(d *json.Decoder, t reflect.Type, path string, depth int) error {
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
			fieldPath := strings.TrimPrefix(path+"."+name, ".")
			if seen[name] {
				return fmt.Errorf("field %q appears twice", fieldPath)
			}
			seen[name] = true
			valueType, ok := fieldType(t, name)
			if !ok {
				return fmt.Errorf("unknown field %q", fieldPath)
			}
			if err := checkValue(d, valueType, fieldPath, depth+1); err != nil {
				return err
			}
		}
		_, err = d.Token()
	case json.Delim('['):
		for i := 0; d.More(); i++ {
			if err := checkValue(d, elementType(t), fmt.Sprintf("%s[%d]", path, i), depth+1); err != nil {
				return err
			}
		}
		_, err = d.Token()
	}
	return err
}

// pointedType returns the type that t points to, through any number of
// pointers, or t itself. It returns nil for a type that implements
// json.Unmarshaler.
func pointedType(t reflect.Type) reflect.Type {
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

// elementType returns the element type of a slice or array, or nil for other
// types.
func elementType(t reflect.Type) reflect.Type {
	if t = pointedType(t); t != nil && (t.Kind() == reflect.Slice || t.Kind() == reflect.Array) {
		return t.Elem()
	}
	return nil
}

// fieldType returns the type of the field with the JSON name in the type t, or
// nil if any name is accepted. It reports false if t is a struct without such
// a field.
func fieldType(t reflect.Type, name string) (reflect.Type, bool) {
	t = pointedType(t)
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

// describe adds the line or the field and the wanted JSON type to an error of
// encoding/json.
func describe(data []byte, err error) error {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return errors.New("the document is empty or ends early")
	case errors.As(err, &syntax):
		return fmt.Errorf("line %d: %w", lineNumber(data, syntax.Offset), err)
	case errors.As(err, &kind) && kind.Field != "":
		return fmt.Errorf("field %q: a JSON %s is not allowed, want %s", kind.Field, kind.Value, jsonForm(kind.Type))
	case errors.As(err, &kind):
		return fmt.Errorf("a JSON %s is not allowed here, want an object", kind.Value)
	}
	return err
}

// jsonForm describes the JSON form of a type.
func jsonForm(t reflect.Type) string {
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

// lineNumber returns the number of the line at offset, from 1.
func lineNumber(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(offset, int64(len(data)))], []byte("\n"))
}
