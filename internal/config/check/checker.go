// Package check validates structs by their validate tags and words the
// faults for operators: field, value and what is allowed.
package check

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/go-playground/validator/v10"
)

// maxShown bounds the part of a value that a message shows.
const maxShown = 60

// Checker checks structs. It is safe for concurrent use.
type Checker struct {
	validate *validator.Validate
	hidden   []string
}

// New returns a checker. Messages do not show the values of the hidden
// fields, given by their JSON names.
//
// It knows two tags besides those of the validator: addrport for an IP
// address with a port, and between=a:b for durations.
func New(hidden ...string) *Checker {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	must(v.RegisterValidation("addrport", func(f validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(f.Field().String())
		return err == nil
	}))
	must(v.RegisterValidation("between", func(f validator.FieldLevel) bool {
		low, high, _ := strings.Cut(f.Param(), ":")
		a, _ := time.ParseDuration(low)
		b, _ := time.ParseDuration(high)
		d := time.Duration(f.Field().Int())
		return a <= d && d <= b
	}))
	return &Checker{validate: v, hidden: hidden}
}

// must panics on an error that depends on this package's text only.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// Faults returns the first faults of the struct v, at most limit, and the
// number of all faults.
func (c *Checker) Faults(v any, limit int) (faults []string, total int) {
	err := c.validate.Struct(v)
	if err == nil {
		return nil, 0
	}
	list, ok := err.(validator.ValidationErrors)
	if !ok {
		return []string{err.Error()}, 1
	}
	for _, f := range list[:min(limit, len(list))] {
		faults = append(faults, c.fault(reflect.TypeOf(v), f))
	}
	return faults, len(list)
}

func (c *Checker) fault(t reflect.Type, f validator.FieldError) string {
	_, path, _ := strings.Cut(f.Namespace(), ".")
	rules := rulesOf(t, f.StructNamespace())
	return fmt.Sprintf("%s: %s is not allowed; allowed: %s",
		path, c.shown(f), allowed(f, rules))
}

func (c *Checker) shown(f validator.FieldError) string {
	name := index.ReplaceAllString(f.Field(), "")
	if slices.Contains(c.hidden, name) {
		return "the value (not shown)"
	}
	v := reflect.ValueOf(f.Value())
	switch v.Kind() {
	case reflect.Slice, reflect.Map:
		return fmt.Sprintf("a list of %d elements", v.Len())
	case reflect.String:
		return Quote(v.String())
	}
	return fmt.Sprint(f.Value())
}

// Quote returns s quoted and shortened for a message.
func Quote(s string) string {
	if len(s) > maxShown {
		cut := maxShown
		for cut > 0 && !utf8.RuneStart(s[cut]) {
			cut--
		}
		return fmt.Sprintf("%q...", s[:cut])
	}
	return fmt.Sprintf("%q", s)
}

var index = regexp.MustCompile(`\[[^\]]*\]`)

// rulesOf returns the validate rules of the field at the path, which starts
// with the name of the type t.
func rulesOf(t reflect.Type, path string) []string {
	parts := strings.Split(path, ".")[1:]
	var tag string
	for i, p := range parts {
		for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Map {
			t = t.Elem()
		}
		if t.Kind() != reflect.Struct {
			return nil
		}
		f, ok := t.FieldByName(index.ReplaceAllString(p, ""))
		if !ok {
			return nil
		}
		t = f.Type
		if i == len(parts)-1 {
			tag = f.Tag.Get("validate")
			for range strings.Count(p, "[") {
				_, tag, _ = strings.Cut(tag, "dive,")
			}
		}
	}
	tag, _, _ = strings.Cut(tag, ",dive")
	return strings.Split(tag, ",")
}

// allowed words the rules of a field.
func allowed(f validator.FieldError, rules []string) string {
	if f.Tag() == "unique" {
		if f.Param() != "" {
			return "each " + strings.ToLower(f.Param()) + " once"
		}
		return "each value once"
	}
	low, high := "", ""
	var texts []string
	for _, r := range rules {
		name, param, _ := strings.Cut(r, "=")
		switch name {
		case "required":
			if f.Kind() == reflect.String {
				low = "1"
			}
		case "min":
			low = param
		case "max":
			high = param
		case "len":
			texts = append(texts, "exactly "+param+unit(f.Kind()))
		case "oneof":
			texts = append(texts, "one of "+strings.Join(strings.Fields(param), ", "))
		case "gtefield":
			texts = append(texts, "at least "+lowerFirst(param))
		case "startswith":
			texts = append(texts, "text that starts with "+param)
		case "between":
			a, b, _ := strings.Cut(param, ":")
			texts = append(texts, a+" to "+b)
		case "addrport":
			texts = append(texts, "an IP address with a port such as 127.0.0.1:8080")
		case "url", "http_url":
			texts = append(texts, "a URL such as http://127.0.0.1:8080")
		case "required_without", "excluded_with":
			return "exactly one of " + f.Field() + " and " + lowerFirst(param)
		case "printascii":
			texts = append(texts, "printable ASCII")
		case "hexadecimal", "lowercase":
			texts = append(texts, name)
		}
	}
	switch {
	case low == "1" && high == "" && len(texts) > 0 && f.Kind() == reflect.String:
		// The other rules exclude the empty text too.
	case low != "" && high != "":
		texts = slices.Insert(texts, 0, low+" to "+high+unit(f.Kind()))
	case low != "":
		texts = slices.Insert(texts, 0, "at least "+low+unit(f.Kind()))
	case high != "":
		texts = slices.Insert(texts, 0, "at most "+high+unit(f.Kind()))
	}
	if len(texts) == 0 {
		return strings.TrimSuffix(f.Tag()+"="+f.Param(), "=")
	}
	return strings.Join(texts, ", ")
}

func unit(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return " characters"
	case reflect.Slice, reflect.Map:
		return " elements"
	}
	return ""
}

func lowerFirst(s string) string {
	return strings.ToLower(s[:1]) + s[1:]
}
