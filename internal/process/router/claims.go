package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/claim"
	"github.com/galenalatch/galenalatch/internal/platform/claims"
	"github.com/galenalatch/galenalatch/internal/process/entry"
)

// claimAdapter gives the entry claims from the platform's table.
type claimAdapter struct {
	store *claims.Store
}

// Claim implements entry.Claims.
func (a claimAdapter) Claim(ctx context.Context, r galenalatch.Request, wait bool) (entry.Claim, *entry.Answer, error) {
	try := a.store.Try
	if wait {
		try = a.store.Claim
	}
	h, stored, err := try(ctx, r.Workspace, r.Pool, r.Key, fingerprint(r))
	switch {
	case err != nil:
		return nil, nil, err
	case stored != nil:
		return nil, &entry.Answer{Status: stored.Status, Header: stored.Header, Body: stored.Body}, nil
	}
	return handleAdapter{h}, nil, nil
}

// fingerprint stands for the content of a request, so that a key that is used
// again for another request is found.
func fingerprint(r galenalatch.Request) string {
	h := sha256.New()
	for _, s := range []string{r.Method, "\x00", r.Path, "\x00"} {
		h.Write([]byte(s))
	}
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}

type handleAdapter struct {
	*claims.Handle
}

// Finish implements entry.Claim.
func (h handleAdapter) Finish(ctx context.Context, a entry.Answer) error {
	return h.Handle.Finish(ctx, claim.Answer{Status: a.Status, Header: a.Header, Body: a.Body})
}
