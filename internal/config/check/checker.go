// Package check validates structs by their validate tags and describes each fault
// for operators: field, value and what is allowed.
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

// maxQuotedBytes limits the bytes of a value that a message contains.
const maxQuotedBytes = 60

// Checker validates structs. It is safe for concurrent use.
type Checker struct {
	validate *validator.Validate
	hidden   []string
}

// New returns a checker. Messages do not contain the values of the hidden fields,
// which are given by their JSON names.
//
// Two tags are supported besides those of the validator package: addrport for an
// IP address with a port, and between=a:b for a duration from a to b.
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

// must panics on an error, which only a mistake in this package can cause.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// Faults returns the first limit faults of the struct v, and the total number of
// faults.
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
		faults = append(faults, c.describeFault(reflect.TypeOf(v), f))
	}
	return faults, len(list)
}

// describeFault describes a fault of a struct of type t.
func (c *Checker) describeFault(t reflect.Type, f validator.FieldError) string {
	_, path, _ := strings.Cut(f.Namespace(), ".")
	rules := rulesOf(t, f.StructNamespace())
	return fmt.Sprintf("%s: %s is not allowed; allowed: %s",
		path, c.describeValue(f), describeRules(f, rules))
}

// describeValue returns the value of a field for a message.
func (c *Checker) describeValue(f validator.FieldError) string {
	name := indexPattern.ReplaceAllString(f.Field(), "")
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

// Quote returns s quoted, and shortened if it is long, for use in a message.
func Quote(s string) string {
	if len(s) > maxQuotedBytes {
		cut := maxQuotedBytes
		for cut > 0 && !utf8.RuneStart(s[cut]) {
			cut--
		}
		return fmt.Sprintf("%q...", s[:cut])
	}
	return fmt.Sprintf("%q", s)
}

// indexPattern matches the index of a list element or map value in a path.
var indexPattern = regexp.MustCompile(`\[[^\]]*\]`)

// rulesOf returns the validate rules of the field at path, whose first element is
// the name of the type t, or nil if there is no such field.
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
		f, ok := t.FieldByName(indexPattern.ReplaceAllString(p, ""))
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

// describeRules describes the values that the rules of a field allow.
func describeRules(f validator.FieldError, rules []string) string {
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
			texts = append(texts, "exactly "+param+lengthUnit(f.Kind()))
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
		// The other rules exclude the empty string too.
	case low != "" && high != "":
		texts = slices.Insert(texts, 0, low+" to "+high+lengthUnit(f.Kind()))
	case low != "":
		texts = slices.Insert(texts, 0, "at least "+low+lengthUnit(f.Kind()))
	case high != "":
		texts = slices.Insert(texts, 0, "at most "+high+lengthUnit(f.Kind()))
	}
	if len(texts) == 0 {
		return strings.TrimSuffix(f.Tag()+"="+f.Param(), "=")
	}
	return strings.Join(texts, ", ")
}

// lengthUnit returns what the length of a value of kind k counts.
func lengthUnit(k reflect.Kind) string {
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
