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

// claimAdapter implements entry.Claims on the claims in the platform's table.
type claimAdapter struct {
	store *claims.Store
}

// Claim implements entry.Claims.
func (a claimAdapter) Claim(ctx context.Context, r galenalatch.Request, wait bool) (entry.Claim, *entry.Answer, error) {
	try := a.store.ClaimNoWait
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
	return claimHandle{h}, nil, nil
}

// fingerprint returns a hash of the method, path and body of a request. It shows
// when a key is used again for another request.
func fingerprint(r galenalatch.Request) string {
	h := sha256.New()
	for _, s := range []string{r.Method, "\x00", r.Path, "\x00"} {
		h.Write([]byte(s))
	}
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// claimHandle implements entry.Claim.
type claimHandle struct {
	*claims.Handle
}

// Finish implements entry.Claim.
func (h claimHandle) Finish(ctx context.Context, a entry.Answer) error {
	return h.Handle.Finish(ctx, claim.Answer{Status: a.Status, Header: a.Header, Body: a.Body})
}
