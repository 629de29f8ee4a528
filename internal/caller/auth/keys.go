// Package auth authenticates callers by the key hashes of the catalogue, and
// operators by a token. Credentials are compared in constant time and are not
// included in errors.
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

// maxCredentialBytes is the maximum length of a bearer credential.
const maxCredentialBytes = 1024

// Keys maps the keys of callers to workspaces. Its methods may be called
// concurrently.
type Keys struct {
	catalogue func() galenalatch.Catalogue
	index     atomic.Pointer[index]
	// buildLock is held while an index is built, so that concurrent requests
	// after a catalogue change do not each build one.
	buildLock sync.Mutex
}

// New returns the keys of the catalogue that the function catalogue returns. The
// index of the keys is rebuilt when the version of the catalogue has changed.
func New(catalogue func() galenalatch.Catalogue) *Keys {
	return &Keys{catalogue: catalogue}
}

// Workspace returns the workspace of the key in the Authorization header of the
// request. Errors are of KindUnauthorized.
func (k *Keys) Workspace(r *http.Request) (galenalatch.WorkspaceName, error) {
	key, err := bearerCredential(r)
	if err != nil {
		return "", err
	}
	if w, ok := k.currentIndex().find(sha256.Sum256([]byte(key))); ok {
		return w, nil
	}
	return "", galenalatch.KindUnauthorized.Errorf("the key is not known")
}

func (k *Keys) currentIndex() *index {
	if x := k.index.Load(); x != nil && x.version == k.catalogue().Version {
		return x
	}
	k.buildLock.Lock()
	defer k.buildLock.Unlock()
	// Read the catalogue under the lock, so that an index is never replaced by
	// one of an older version.
	c := k.catalogue()
	if x := k.index.Load(); x != nil && x.version == c.Version {
		return x
	}
	x := newIndex(c)
	k.index.Store(x)
	return x
}

// index holds the key hashes of one catalogue version. Hashes are grouped by
// their first 8 bytes and compared in constant time within a group. The timing of
// the group lookup depends only on the hash, which reveals nothing about the key.
type index struct {
	version galenalatch.Version
	groups  map[uint64][]keyHash
}

type keyHash struct {
	sum       [sha256.Size]byte
	workspace galenalatch.WorkspaceName
}

func newIndex(c galenalatch.Catalogue) *index {
	x := &index{version: c.Version, groups: make(map[uint64][]keyHash)}
	for _, w := range c.Workspaces {
		for _, s := range w.KeyHashes {
			h := keyHash{workspace: w.Name}
			if n, err := hex.Decode(h.sum[:], []byte(s[:min(len(s), 2*sha256.Size)])); err != nil || n != sha256.Size {
				continue
			}
			g := groupOf(h.sum)
			x.groups[g] = append(x.groups[g], h)
		}
	}
	return x
}

func (x *index) find(sum [sha256.Size]byte) (galenalatch.WorkspaceName, bool) {
	var found galenalatch.WorkspaceName
	ok := false
	for _, h := range x.groups[groupOf(sum)] {
		if subtle.ConstantTimeCompare(h.sum[:], sum[:]) == 1 {
			found, ok = h.workspace, true
		}
	}
	return found, ok
}

func groupOf(sum [sha256.Size]byte) uint64 {
	return binary.BigEndian.Uint64(sum[:8])
}

// TokenCheck returns a function that checks that a request carries the token as
// its bearer credential. The errors of the function are of KindUnauthorized.
func TokenCheck(token string) func(*http.Request) error {
	want := sha256.Sum256([]byte(token))
	return func(r *http.Request) error {
		got, err := bearerCredential(r)
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

func bearerCredential(r *http.Request) (string, error) {
	values := r.Header.Values("Authorization")
	if len(values) != 1 {
		return "", galenalatch.KindUnauthorized.Errorf("exactly one Authorization header is required, got %d", len(values))
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "Bearer") || key == "" || len(key) > maxCredentialBytes {
		return "", galenalatch.KindUnauthorized.Errorf("the Authorization header must be \"Bearer \" and a key of 1 to %d characters", maxCredentialBytes)
	}
	return key, nil
}
