// Package auth authenticates callers by the key hashes of the catalogue, and
// routers and operators by their tokens. Credentials are compared in
// constant time and are in no error.
package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/galenalatch/galenalatch"
)

// maxKey bounds the length of a bearer credential.
const maxKey = 1024

// Keys finds the workspace of a caller's key.
type Keys struct {
	current func() galenalatch.Catalogue
	index   atomic.Pointer[index]
	// build is held while an index is built, so that the requests that
	// arrive with a new version do not all build one.
	build sync.Mutex
}

// New returns the keys of the catalogue that current returns. The index is
// built anew when the catalogue's version differs from that of the last call.
func New(current func() galenalatch.Catalogue) *Keys {
	return &Keys{current: current}
}

// Workspace returns the workspace whose key the request carries. Errors are
// of KindUnauthorized.
func (k *Keys) Workspace(r *http.Request) (galenalatch.WorkspaceName, error) {
	key, err := bearer(r)
	if err != nil {
		return "", err
	}
	if w, ok := k.latest().find(sha256.Sum256([]byte(key))); ok {
		return w, nil
	}
	return "", galenalatch.KindUnauthorized.Errorf("the key is not known")
}

func (k *Keys) latest() *index {
	if x := k.index.Load(); x != nil && x.version == k.current().Version {
		return x
	}
	k.build.Lock()
	defer k.build.Unlock()
	// Read under the lock, the catalogue is not older than the last one.
	c := k.current()
	if x := k.index.Load(); x != nil && x.version == c.Version {
		return x
	}
	x := newIndex(c)
	k.index.Store(x)
	return x
}

// index holds the hashes of one catalogue version. Hashes are grouped by
// their first bytes, which says nothing about the keys, and compared in
// constant time within a group.
type index struct {
	version galenalatch.Version
	groups  map[uint64][]hash
}

type hash struct {
	sum       [sha256.Size]byte
	workspace galenalatch.WorkspaceName
}

func newIndex(c galenalatch.Catalogue) *index {
	x := &index{version: c.Version, groups: make(map[uint64][]hash)}
	for _, w := range c.Workspaces {
		for _, s := range w.KeyHashes {
			h := hash{workspace: w.Name}
			if n, err := hex.Decode(h.sum[:], []byte(s[:min(len(s), 2*sha256.Size)])); err != nil || n != sha256.Size {
				continue
			}
			g := group(h.sum)
			x.groups[g] = append(x.groups[g], h)
		}
	}
	return x
}

func (x *index) find(sum [sha256.Size]byte) (galenalatch.WorkspaceName, bool) {
	var found galenalatch.WorkspaceName
	ok := false
	for _, h := range x.groups[group(sum)] {
		if subtle.ConstantTimeCompare(h.sum[:], sum[:]) == 1 {
			found, ok = h.workspace, true
		}
	}
	return found, ok
}

func group(sum [sha256.Size]byte) uint64 {
	return binary.BigEndian.Uint64(sum[:8])
}

// Token returns a check for requests that must carry the token as bearer
// credential. Its errors are of KindUnauthorized.
func Token(token string) func(*http.Request) error {
	want := sha256.Sum256([]byte(token))
	return func(r *http.Request) error {
		got, err := bearer(r)
		if err != nil {
			return err
		}
		sum := sha256.Sum256([]byte(got))
		if subtle.ConstantTimeCompare(want[:], sum[:]) != 1 {
			return galenalatch.KindUnauthorized.Errorf("the token is not known")
		}
		return nil
	}
}

func bearer(r *http.Request) (string, error) {
	values := r.Header.Values("Authorization")
	if len(values) != 1 {
		return "", galenalatch.KindUnauthorized.Errorf("exactly one Authorization header is required, got %d", len(values))
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "Bearer") || key == "" || len(key) > maxKey {
		return "", galenalatch.KindUnauthorized.Errorf("the Authorization header must be \"Bearer \" and a key of 1 to %d characters", maxKey)
	}
	return key, nil
}
