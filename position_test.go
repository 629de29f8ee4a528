package galenalatch

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an answer of an earlier era, or of an earlier version of the same
// era, that replaces a newer one; against an answer after the store's return that is
// refused because its version is lower; and against changes of one era that are
// applied to a table of another.
func TestCheckRead(t *testing.T) {
	at := func(era, version uint64) Position { return Position{Era: era, Version: version} }
	tests := []struct {
		name                string
		answer, after, seen Position
		stale, gone         bool
	}{
		{"first read", at(0, 7), ReadAll, Position{}, false, false},
		{"no change", at(0, 7), at(0, 7), at(0, 7), false, false},
		{"change", at(0, 8), at(0, 7), at(0, 7), false, false},
		{"older version", at(0, 6), at(0, 7), at(0, 7), true, false},
		{"older version of a whole table", at(0, 6), ReadAll, at(0, 7), true, false},
		{"later era, lower version", at(1, 3), at(0, 7), at(0, 7), false, true},
		{"later era, same version", at(1, 7), at(0, 7), at(0, 7), false, true},
		{"later era, higher version", at(1, 9), at(0, 7), at(0, 7), false, true},
		{"later era, whole table of a lower version", at(1, 3), ReadAll, at(0, 7), false, false},
		{"earlier era, higher version", at(1, 9), at(2, 3), at(2, 3), true, false},
		{"earlier era, whole table", at(1, 9), ReadAll, at(2, 3), true, false},
		{"era skipped", at(3, 1), at(1, 9), at(1, 9), false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := Stamp{Position: tt.answer}.CheckRead(tt.after, tt.seen)
			var stale *StaleAnswerError
			assert.Equal(t, errors.As(err, &stale), tt.stale, "%v", err)
			assert.Equal(t, errors.Is(err, ErrHistoryGone), tt.gone, "%v", err)
			assert.Equal(t, err == nil, !tt.stale && !tt.gone)
		})
	}
}
