// Package events logs numbered events. The numbers, levels and messages are
// a closed table, so that operators can alert on numbers and look each one
// up in docs/events.md.
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

// Number identifies an event.
type Number int

// Log writes events. It is safe for concurrent use.
type Log struct {
	logger *log.Logger
}

// New returns a log that writes to w. The level is debug, info, warn or
// error, the format text, json or logfmt.
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
	return &Log{logger: log.NewWithOptions(&locked{w: w}, log.Options{
		Level:           l,
		Formatter:       f,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		TimeFunction:    log.NowUTC,
	})}, nil
}

// locked makes the loggers that With returns write one at a time. Each of
// them has a lock of its own.
type locked struct {
	mu sync.Mutex
	w  io.Writer
}

// Write implements io.Writer.
func (l *locked) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(data)
}

// With returns a log that adds the pairs of keys and values to each event.
func (l *Log) With(pairs ...any) *Log {
	return &Log{logger: l.logger.With(safe(pairs)...)}
}

// Event logs the event n with pairs of keys and values.
func (l *Log) Event(n Number, pairs ...any) {
	e, ok := table[n]
	if !ok {
		e = event{level: log.ErrorLevel, message: "unknown event number"}
	}
	l.logger.Log(e.level, e.message, append([]any{"event", int(n)}, safe(pairs)...)...)
}

// secrets are keys whose values are never logged.
var secrets = []string{"authorization", "token", "secret", "password", "bearer", "cookie", "apikey", "idempotencykey"}

// judged keeps the result for each key. Keys are words of the program, so
// there are few.
var judged sync.Map

// isSecret reports whether the value of a key is never logged.
func isSecret(key string) bool {
	if secret, ok := judged.Load(key); ok {
		return secret == true
	}
	k := strings.ToLower(strings.NewReplacer("-", "", "_", "", ".", "").Replace(key))
	secret := slices.ContainsFunc(secrets, func(s string) bool { return strings.Contains(k, s) })
	judged.Store(key, secret)
	return secret
}

// safe returns the pairs without secrets. Values are shortened, since some
// come from callers.
func safe(pairs []any) []any {
	pairs = slices.Clone(pairs)
	if len(pairs)%2 == 1 {
		pairs = append(pairs, "missing")
	}
	for i := 0; i+1 < len(pairs); i += 2 {
		if k, ok := pairs[i].(string); !ok || isSecret(k) {
			pairs[i+1] = "redacted"
			continue
		}
		pairs[i+1] = scalar(pairs[i+1])
	}
	return pairs
}

// scalar returns a value that can be logged. Maps, structs and lists are not
// logged: a header or a request in a log line would carry secrets.
func scalar(v any) any {
	switch x := v.(type) {
	case string:
		return clip(x)
	case int, uint64, bool:
		return v
	}
	r := reflect.ValueOf(v)
	if !r.IsValid() || r.Kind() == reflect.Pointer && r.IsNil() {
		return "none"
	}
	switch x := v.(type) {
	case error:
		return clip(x.Error())
	case fmt.Stringer:
		return clip(x.String())
	}
	switch {
	case r.Kind() == reflect.String:
		return clip(r.String())
	case r.CanInt(), r.CanUint(), r.CanFloat(), r.Kind() == reflect.Bool:
		return v
	}
	return fmt.Sprintf("value of type %T", v)
}

// maxValue bounds the length of a logged value.
const maxValue = 512

func clip(s string) string {
	s = strings.ToValidUTF8(s, "?")
	if len(s) <= maxValue {
		return s
	}
	return strings.ToValidUTF8(s[:maxValue], "") + "..."
}
