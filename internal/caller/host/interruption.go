package host

import (
	"context"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
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

// interruption describes an exchange that broke off.
func (t *transaction) interruption(ctx context.Context, p *placement.Reservation) Interruption {
	if t.headSent || len(t.call.Prompt) < 2 {
		return Interruption{}
	}
	return Interruption{
		// The last part belongs to the request alone.
		Parts: t.call.Prompt[:len(t.call.Prompt)-1], Begun: t.begun, ServerEnded: t.serverEnded(ctx, p),
	}
}

// serverEnded reports whether the process of a server has ended unplanned. The end
// of a connection does not show that: networks and servers also end connections
// one by one.
func (t *transaction) serverEnded(ctx context.Context, p *placement.Reservation) bool {
	return t.h.Table.Usable(time.Now(), p.Server) && t.h.Client.Refuses(ctx, p.Server, p.Address)
}
