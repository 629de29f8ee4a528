package exit_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/exit"
)

// TestCode guards against exit codes by which a script would take a change
// that may be stored for one that was refused, or an invalid command line for
// a failure of the fleet.
func TestCode(t *testing.T) {
	for _, c := range []struct {
		err  error
		want int
	}{
		{nil, 0},
		{exit.Wrap(nil), 0},
		{errors.New("unknown flag"), exit.Usage},
		{exit.Wrap(errors.New("violation")), exit.Failed},
		{exit.Wrap(galenalatch.KindConflict.Errorf("x")), exit.NotRun},
		{exit.Wrap(fmt.Errorf("part 1: %w", galenalatch.KindServerUnreachable.Errorf("x"))), exit.NotRun},
		{exit.Wrap(galenalatch.KindWriteUnknown.Errorf("x")), exit.Unknown},
		{exit.Wrap(galenalatch.KindPending.Errorf("x")), exit.Unknown},
	} {
		assert.Equal(t, exit.Code(c.err), c.want, "%v", c.err)
	}
}
