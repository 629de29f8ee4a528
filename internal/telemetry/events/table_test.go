package events

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestTable guards against events without an explanation for operators,
// against two events with the same message, and against a docs/events.md that
// differs from the table.
func TestTable(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Events\n\nEvents by their number, the field `event` of a log line. This page is generated from the table in\n" +
		"`internal/telemetry/events`; `go test ./internal/telemetry/events -update` writes it.\n\n" +
		"| event | level | message | meaning | what to do |\n| --- | --- | --- | --- | --- |\n")
	messages := make(map[string]Number)
	for _, n := range slices.Sorted(maps.Keys(table)) {
		e := table[n]
		assert.Assert(t, e.message != "" && e.meaning != "" && e.action != "", "event %d lacks a text", n)
		assert.Assert(t, messages[e.message] == 0, "events %d and %d have the same message", n, messages[e.message])
		messages[e.message] = n
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", n, e.level, e.message, e.meaning, e.action)
	}
	golden.Assert(t, b.String(), "../../../../docs/events.md")
}
