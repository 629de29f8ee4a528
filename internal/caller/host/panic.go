package host

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"time"

	"github.com/galenalatch/galenalatch/internal/decide/placement"
)

// recoverPanic ends a request in which the router panicked, and closes its connection:
// what the caller has received so far is unknown. A deferred call of it must be direct.
func (t *transaction) recoverPanic() {
	e := recover()
	if e == nil {
		return
	}
	if e != http.ErrAbortHandler {
		if t.reservation != nil {
			t.release(time.Now(), placement.Cancelled)
		}
		t.takeBackTokens()
		t.h.Events.Panicked(t.call.ID, t.decision, fmt.Errorf("%v at %s", e, panicSource()))
	}
	panic(http.ErrAbortHandler)
}

// panicSource returns the file and line of the newest panic.
func panicSource() string {
	var callers [16]uintptr
	frames := runtime.CallersFrames(callers[:runtime.Callers(1, callers[:])])
	panicking := false
	for {
		f, more := frames.Next()
		if panicking && !strings.HasPrefix(f.Function, "runtime.") {
			return fmt.Sprintf("%s:%d", f.File, f.Line)
		}
		panicking = panicking || f.Function == "runtime.gopanic"
		if !more {
			return "unknown"
		}
	}
}
