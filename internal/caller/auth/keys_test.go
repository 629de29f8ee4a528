package auth_test

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/auth"
)

func hexHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Guards against a key that is accepted for another workspace or after its
// removal from the catalogue, and against keys in errors.
func TestKeys(t *testing.T) {
	c := galenalatch.Catalogue{Version: 1, Workspaces: []galenalatch.Workspace{
		{Name: "a", KeyHashes: []string{hexHash("key-a"), hexHash("key-a2")}},
		{Name: "b", KeyHashes: []string{hexHash("key-b"), "not a hash", strings.Repeat("0", 128)}},
	}}
	k := auth.New(func() galenalatch.Catalogue { return c })
	authenticate := func(values ...string) (galenalatch.WorkspaceName, error) {
		r := httptest.NewRequest("GET", "/", nil)
		r.Header["Authorization"] = values
		return k.Workspace(r)
	}
	for key, want := range map[string]galenalatch.WorkspaceName{"key-a": "a", "key-a2": "a", "key-b": "b"} {
		got, err := authenticate("Bearer " + key)
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
	for _, v := range [][]string{
		nil, {""}, {"Bearer"}, {"Bearer "}, {"key-a"}, {"Basic key-a"}, {"Bearer key-c"}, {"Bearer " + hexHash("key-a")},
		{"Bearer key-a", "Bearer key-a"}, {"Bearer " + strings.Repeat("key-a", 300)},
	} {
		_, err := authenticate(v...)
		assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindUnauthorized, "%q", v)
		assert.Assert(t, !strings.Contains(err.Error(), "key-"))
	}
	c = galenalatch.Catalogue{Version: 2, Workspaces: []galenalatch.Workspace{{Name: "b", KeyHashes: []string{hexHash("key-a")}}}}
	got, err := authenticate("Bearer key-a")
	assert.NilError(t, err)
	assert.Equal(t, got, galenalatch.WorkspaceName("b"))
	_, err = authenticate("Bearer key-b")
	assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindUnauthorized)
}

// Guards against a check that accepts a prefix or an extension of the token.
func TestToken(t *testing.T) {
	check := auth.TokenCheck("token-of-the-operators")
	for token, ok := range map[string]bool{"token-of-the-operators": true, "token-of-the-operator": false, "token-of-the-operatorss": false, "": false} {
		r := httptest.NewRequest("GET", "/", nil)
		r.Header.Set("Authorization", "Bearer "+token)
		assert.Equal(t, check(r) == nil, ok, token)
	}
}
