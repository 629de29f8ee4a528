// Package events logs numbered events. Numbers, levels and messages are
// defined in one table, so that operators can alert on a number and look it up
// in docs/events.md, which is generated from the table.
package events

import (
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// Number is the number of an event.
type Number int

// Log writes events. It is safe for concurrent use.
type Log struct {
	logger *log.Logger
}

// New returns a log that writes the events of at least the given level to w.
// The level is debug, info, warn or error, and the format is text, json or
// logfmt; any other value is an error.
func New(w io.Writer, level, format string) (*Log, error) {
	l, err := log.ParseLevel(level)
	if err != nil || l == log.FatalLevel {
		return nil, fmt.Errorf("log level: %q is not allowed; allowed: debug, info, warn, error", level)
	}
	formatters := map[string]log.Formatter{"text": log.TextFormatter, "json": log.JSONFormatter, "logfmt": log.LogfmtFormatter}
	f, ok := formatters[format]
	if !ok {
		return nil, fmt.Errorf("log format: %q is not allowed; allowed: text, json, logfmt", format)
	}
	return &Log{logger: log.NewWithOptions(&lockedWriter{w: w}, log.Options{
		Level:           l,
		Formatter:       f,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		TimeFunction:    log.NowUTC,
	})}, nil
}

// lockedWriter serialises the writes of the loggers that With returns, since each
// of them has a lock of its own.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

// Write implements io.Writer.
func (l *lockedWriter) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(data)
}

// With returns a log that adds the pairs of keys and values to each event. Values
// are treated as by Event.
func (l *Log) With(pairs ...any) *Log {
	return &Log{logger: l.logger.With(redact(pairs)...)}
}

// Event logs the event n with pairs of keys and values. It redacts the values
// of keys that name secrets, shortens texts to 512 bytes, and logs only the
// type of values other than texts, numbers, booleans, errors and
// fmt.Stringers. An unknown number is logged as an error.
func (l *Log) Event(n Number, pairs ...any) {
	e, ok := table[n]
	if !ok {
		e = event{level: log.ErrorLevel, message: "unknown event number"}
	}
	l.logger.Log(e.level, e.message, append([]any{"event", int(n)}, redact(pairs)...)...)
}

// secretWords are the words that mark a key as that of a secret. Keys are
// compared in lower case and without hyphens, underscores and dots.
var secretWords = []string{"authorization", "token", "secret", "password", "bearer", "cookie", "apikey", "idempotencykey"}

// secretKeys caches the result of isSecret by key. The keys are constants of the
// program, so their number is limited.
var secretKeys sync.Map

// isSecret reports whether the value of the key must not be logged.
func isSecret(key string) bool {
	if secret, ok := secretKeys.Load(key); ok {
		return secret == true
	}
	k := strings.ToLower(strings.NewReplacer("-", "", "_", "", ".", "").Replace(key))
	secret := slices.ContainsFunc(secretWords, func(s string) bool { return strings.Contains(k, s) })
	secretKeys.Store(key, secret)
	return secret
}

// redact returns a copy of pairs with secrets redacted and with values that
// can be logged. Values are shortened, since some of them come from callers.
func redact(pairs []any) []any {
	pairs = slices.Clone(pairs)
	if len(pairs)%2 == 1 {
		pairs = append(pairs, "missing")
	}
	for i := 0; i+1 < len(pairs); i += 2 {
		if k, ok := pairs[i].(string); !ok || isSecret(k) {
			pairs[i+1] = "redacted"
			continue
		}
		pairs[i+1] = loggable(pairs[i+1])
	}
	return pairs
}

// loggable returns a value that can be logged in place of v. Maps, structs and
// lists are not logged, because a header or a request may contain secrets.
func loggable(v any) any {
	switch x := v.(type) {
	case string:
		return truncate(x)
	case int, uint64, bool:
		return v
	}
	r := reflect.ValueOf(v)
	if !r.IsValid() || r.Kind() == reflect.Pointer && r.IsNil() {
		return "none"
	}
	switch x := v.(type) {
	case error:
		return truncate(x.Error())
	case fmt.Stringer:
		return truncate(x.String())
	}
	switch {
	case r.Kind() == reflect.String:
		return truncate(r.String())
	case r.CanInt(), r.CanUint(), r.CanFloat(), r.Kind() == reflect.Bool:
		return v
	}
	return fmt.Sprintf("value of type %T", v)
}

// maxValueBytes is the largest length of a logged text in bytes.
const maxValueBytes = 512

// truncate returns s as valid UTF-8, shortened to maxValueBytes.
func truncate(s string) string {
	s = strings.ToValidUTF8(s, "?")
	if len(s) <= maxValueBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxValueBytes], "") + "..."
}
