// Package secret refers to secrets that settings files must not contain.
package secret

import (
	"fmt"
	"os"
	"strings"
)

// Bounds of a token's length. Shorter tokens can be guessed.
const (
	minLength = 16
	maxLength = 1024
)

// Secret says where a token is read from: exactly one of a file and an
// environment variable. It holds no secret itself, so it can be printed.
type Secret struct {
	File string `json:"file,omitempty" validate:"required_without=Env,excluded_with=Env,max=4096"`
	Env  string `json:"env,omitempty" validate:"required_without=File,max=256"`
}

// Read returns the token. Errors name the source and never the content.
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
