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

// tokenTime is the time between two tokens of a stream in a fleet of the target
// size.
const tokenTime = 58 * time.Millisecond

// callSettings describes a load: a number of concurrent streams, or a rate of
// calls.
type callSettings struct {
	// rate is the number of calls per second, or 0.
	rate int
	// streams is the number of streams that are started at once, or 0.
	streams int
	// tokens is the number of tokens of each answer.
	tokens int
	// direct sends the calls to the backend servers without routers.
	direct bool
}

// load makes the calls that the settings describe until stop is called.
type load struct {
	callSettings
	fleet      *fleet
	cancel     context.CancelFunc
	group      sync.WaitGroup
	mu         sync.Mutex
	err        error
	begunCalls int
}

func (f *fleet) startLoad(c callSettings) *load {
	l := &load{callSettings: c, fleet: f}
	ctx, cancel := context.WithCancel(f.ctx)
	l.cancel = cancel
	for i := range l.streams {
		l.group.Go(func() { l.runCall(ctx, i) })
	}
	if l.rate > 0 {
		l.group.Go(func() { l.loop(ctx) })
	}
	return l
}

func (l *load) loop(ctx context.Context) {
	tick := time.NewTicker(time.Second / time.Duration(l.rate))
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.group.Go(func() { l.runCall(ctx, i) })
		}
	}
}

// runCall makes call i and records its error.
func (l *load) runCall(ctx context.Context, i int) {
	if err := l.call(ctx, i); err != nil && ctx.Err() == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.err = errors.Join(l.err, err)
	}
}

// call makes call i and reads the whole answer. The number selects the router or
// backend server.
func (l *load) call(ctx context.Context, i int) error {
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
	l.begunCalls++
	l.mu.Unlock()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// waitStarted waits for 2 s, and then until all streams have started or, without
// streams, one call.
func (l *load) waitStarted(ctx context.Context) error {
	if err := sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	return l.fleet.wait(func() (bool, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.begunCalls >= max(1, l.streams), l.err
	})
}

// stop cancels the calls, waits for their end and returns the errors of those
// that failed before.
func (l *load) stop() error {
	l.cancel()
	l.group.Wait()
	return l.err
}
