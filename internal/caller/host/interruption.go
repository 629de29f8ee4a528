package host

import (
	"context"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/decide/quarantine"
)

// Interruption describes an exchange that broke off before its request had its first
// event at any server. It is zero for other exchanges and for requests without a
// prompt.
type Interruption struct {
	// Parts are the parts of the prompt that other requests may have in common.
	Parts []galenalatch.PromptPart
	// Begun is set when the head of the answer was received.
	Begun bool
	// ServerEnded is set when nothing listens at the address of the server any
	// more, although no end was planned.
	ServerEnded bool
}

// suspicious reports whether the request itself may have crashed the server. It is not
// sent to another one, which it might crash as well.
func (i Interruption) suspicious() bool {
	return i.Begun && i.ServerEnded
}

// sharedParts returns the parts of the prompt that other requests may have in
// common. The last part belongs to the request alone.
func (t *transaction) sharedParts() []galenalatch.PromptPart {
	return t.call.Prompt[:max(len(t.call.Prompt)-1, 0)]
}

// checkPrompt refuses a request with a prompt part that crashes servers. The caller is
// not asked to return, since it would be refused again.
func (t *transaction) checkPrompt() error {
	if t.trial {
		return nil
	}
	f, held := t.h.Quarantine.Check(time.Now(), t.call.Model, t.sharedParts())
	t.trial = f.Trial
	if !held {
		return nil
	}
	return galenalatch.KindPromptHeld.Errorf("%d backend servers crashed when they began a response to prompt part %.64q, the last one %s ago", f.Crashes, f.Part, f.Age.Round(time.Second))
}

// recordFirstEvent records that the request has the first event of its answer.
func (t *transaction) recordFirstEvent() {
	t.h.Quarantine.RecordFirstEvent(t.call.Model, t.sharedParts())
}

// recordInterruption records an exchange that broke off. If its server has crashed,
// the parts of the prompt become suspects.
func (t *transaction) recordInterruption(ctx context.Context, p *placement.Reservation) {
	i := t.interruption(ctx, p)
	t.decision.Interruption = i
	if i.ServerEnded {
		t.h.Quarantine.RecordCrash(time.Now(), quarantine.Crash{
			Server: p.Server, Started: p.Started, Model: t.call.Model, Parts: i.Parts, Begun: i.Begun,
		})
	}
}

// interruption describes an exchange that broke off.
func (t *transaction) interruption(ctx context.Context, p *placement.Reservation) Interruption {
	if t.headSent || len(t.call.Prompt) == 0 {
		return Interruption{}
	}
	return Interruption{Parts: t.sharedParts(), Begun: t.begun, ServerEnded: t.serverEnded(ctx, p)}
}

// serverEnded reports whether the process of a server has ended without a plan. A
// closed connection does not show that: networks and servers also close single
// connections.
func (t *transaction) serverEnded(ctx context.Context, p *placement.Reservation) bool {
	return t.h.Table.Usable(time.Now(), p.Server) && t.h.Client.Refuses(ctx, p.Server, p.Address)
}
