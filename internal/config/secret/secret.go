// Package secret reads tokens that settings files refer to but must not contain.
package secret

import (
	"fmt"
	"os"
	"strings"
)

// Limits of the length of a token in bytes. Shorter tokens can be guessed.
const (
	minLength = 16
	maxLength = 1024
)

// Secret is a reference to a token in a file or in an environment variable. It
// does not contain the token, so it can be printed.
type Secret struct {
	// File is the path of the file and Env the name of the variable. Exactly
	// one of them must be set.
	File string `json:"file,omitempty" validate:"required_without=Env,excluded_with=Env,max=4096"`
	Env  string `json:"env,omitempty" validate:"required_without=File,max=256"`
}

// Read returns the token without surrounding white space. The token must consist
// of 16 to 1024 characters of printable ASCII other than space. Errors name the
// source and never contain the token.
func (s Secret) Read() (string, error) {
	var source, value string
	if s.File != "" {
		data, err := os.ReadFile(s.File)
		if err != nil {
			return "", fmt.Errorf("read token: %w", err)
		}
		source, value = "file "+s.File, string(data)
	} else {
		v, ok := os.LookupEnv(s.Env)
		if !ok {
			return "", fmt.Errorf("read token: environment variable %q is not set", s.Env)
		}
		source, value = "environment variable "+s.Env, v
	}
	value = strings.TrimSpace(value)
	if n := len(value); n < minLength || n > maxLength {
		return "", fmt.Errorf("token from %s has %d characters, allowed are %d to %d", source, n, minLength, maxLength)
	}
	if strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return "", fmt.Errorf("token from %s contains characters other than printable ASCII", source)
	}
	return value, nil
}
