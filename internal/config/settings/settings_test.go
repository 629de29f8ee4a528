package settings_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/galenalatch/galenalatch/internal/config/secret"
	"github.com/galenalatch/galenalatch/internal/config/settings"
)

const validDocument = `{
  "id": "r1", "dataCentre": "a",
  "platform": {"address": "http://127.0.0.1:7000", "token": {"env": "P"}},
  "tokens": {"peer": {"env": "Q"}, "operator": {"file": "/run/secrets/operator"}}
}`

// TestRoundTrip guards against defaults that the validation rejects, and against
// printed settings that cannot be parsed.
func TestRoundTrip(t *testing.T) {
	s, err := settings.Parse([]byte(validDocument))
	assert.NilError(t, err)
	golden.Assert(t, s.String()+"\n", "default.golden")
	again, err := settings.Parse([]byte(s.String()))
	assert.NilError(t, err)
	assert.Equal(t, again, s)
}

// TestFaults guards against invalid settings that are accepted, and against
// errors that do not name the field and what is allowed.
func TestFaults(t *testing.T) {
	with := func(field string) string {
		return strings.Replace(validDocument, `"id": "r1"`, field+`, "id": "r1"`, 1)
	}
	var b strings.Builder
	for _, c := range []struct{ name, document string }{
		{"empty document", ``},
		{"empty object", `{}`},
		{"not an object", `[]`},
		{"null", `null`},
		{"early end", validDocument[:len(validDocument)-2]},
		{"syntax", strings.Replace(validDocument, `"r1"`, `r1`, 1)},
		{"trailing data", validDocument + "\n{}"},
		{"unknown field", with(`"dataCenter": "a"`)},
		{"field twice", with(`"id": "r2"`)},
		{"name in other case", with(`"ID": "r2"`)},
		{"unknown inner field", with(`"limits": {"bodyByte": 1}`)},
		{"wrong type", with(`"limits": {"bodyBytes": "4MB"}`)},
		{"number as duration", with(`"lease": {"duration": 4}`)},
		{"duration without unit", with(`"lease": {"duration": "4"}`)},
		{"duration out of range", with(`"lease": {"duration": "4h"}`)},
		{"renewal too late", with(`"lease": {"renew": "2s"}`)},
		{"host name", with(`"listen": {"caller": "localhost:8080"}`)},
		{"overlapping addresses", with(`"listen": {"caller": "0.0.0.0:8080", "peer": "127.0.0.1:8080"}`)},
		{"debug on the network", with(`"debug": {"listen": "0.0.0.0:9000"}`)},
		{"debug on a listener of others", with(`"listen": {"caller": "127.0.0.1:1"}, "debug": {"listen": "127.0.0.1:1"}`)},
		{"long id", strings.Replace(validDocument, `"r1"`, `"`+strings.Repeat("r", 65)+`"`, 1)},
		{"platform without scheme", strings.Replace(validDocument, `http://`, ``, 1)},
		{"no token", strings.Replace(validDocument, `{"env": "P"}`, `{}`, 1)},
		{"two sources of a token", strings.Replace(validDocument, `{"env": "P"}`, `{"env": "P", "file": "p"}`, 1)},
		{"token in the settings", strings.Replace(validDocument, `{"env": "P"}`, `"a-token-in-the-file"`, 1)},
		{"log level", with(`"log": {"level": "verbose"}`)},
		{"limits", with(`"limits": {"headerBytes": 1, "bodyBytes": 99999999999, "connectionsPerWorkspace": 0}`)},
	} {
		_, err := settings.Parse([]byte(c.document))
		assert.Assert(t, err != nil, c.name)
		assert.Assert(t, !strings.Contains(err.Error(), "a-token-in-the-file"))
		fmt.Fprintf(&b, "%s:\n  %s\n", c.name, strings.ReplaceAll(err.Error(), "\n", "\n  "))
	}
	golden.Assert(t, b.String(), "faults.golden")
}

// TestEqualAddresses guards against a validation that rejects one address for all
// three listeners.
func TestEqualAddresses(t *testing.T) {
	_, err := settings.Parse([]byte(strings.Replace(validDocument, `"id"`,
		`"listen": {"caller": "127.0.0.1:1", "peer": "127.0.0.1:1", "operator": "127.0.0.1:1"}, "id"`, 1)))
	assert.NilError(t, err)
}

// TestSecret guards against tokens that are accepted although they are too short
// or contain spaces, and against errors that contain a token.
func TestSecret(t *testing.T) {
	t.Setenv("GOOD", "  a-token-of-24-characters\n")
	t.Setenv("SHORT", "short-token")
	t.Setenv("SPACE", "a token with spaces in it")
	got, err := secret.Secret{Env: "GOOD"}.Read()
	assert.NilError(t, err)
	assert.Equal(t, got, "a-token-of-24-characters")
	for env, want := range map[string]string{"SHORT": "11 characters", "SPACE": "printable ASCII", "NONE": "is not set"} {
		_, err := secret.Secret{Env: env}.Read()
		assert.ErrorContains(t, err, want)
		assert.Assert(t, !strings.Contains(err.Error(), "short-token") && !strings.Contains(err.Error(), "spaces"))
	}
	_, err = secret.Secret{File: "testdata/none"}.Read()
	assert.ErrorContains(t, err, "testdata/none")
}
