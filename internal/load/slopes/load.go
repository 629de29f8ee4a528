package slopes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// tokenTime is the time between two tokens of a stream at target size.
const tokenTime = 58 * time.Millisecond

// calls describe a load: streams that run all the time, or a rate of calls.
type calls struct {
	rate    int
	streams int
	tokens  int
	// direct sends the calls to the backend servers without routers.
	direct bool
}

// load makes calls.
type load struct {
	calls
	fleet  *fleet
	cancel context.CancelFunc
	group  sync.WaitGroup
	mu     sync.Mutex
	err    error
	begun  int
}

func (f *fleet) startLoad(c calls) *load {
	started := &load{calls: c, fleet: f}
	ctx, cancel := context.WithCancel(f.ctx)
	started.cancel = cancel
	for i := range started.streams {
		started.group.Go(func() { started.call(ctx, i) })
	}
	if started.rate > 0 {
		started.group.Go(func() { started.loop(ctx) })
	}
	return started
}

func (l *load) loop(ctx context.Context) {
	tick := time.NewTicker(time.Second / time.Duration(l.rate))
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.group.Go(func() { l.call(ctx, i) })
		}
	}
}

func (l *load) call(ctx context.Context, i int) {
	if err := l.try(ctx, i); err != nil && ctx.Err() == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.err = errors.Join(l.err, err)
	}
}

func (l *load) try(ctx context.Context, i int) error {
	address := l.fleet.routers[i%len(l.fleet.routers)].caller
	if l.direct {
		address = l.fleet.engines[i%len(l.fleet.engines)]
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"call %d"}]}`, poolName(0), l.tokens, i)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := l.fleet.client.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1000))
		return fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	l.mu.Lock()
	l.begun++
	l.mu.Unlock()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// warm waits until all streams run, or until calls have run for a while.
func (l *load) warm(ctx context.Context) error {
	if err := pause(ctx, 2*time.Second); err != nil {
		return err
	}
	return l.fleet.wait(func() (bool, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.begun >= max(1, l.streams), l.err
	})
}

// end cancels the calls and returns the errors of those that failed before.
func (l *load) end() error {
	l.cancel()
	l.group.Wait()
	return l.err
}
