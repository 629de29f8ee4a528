package rig2

import (
	"github.com/galenalatch/galenalatch/platform/standin"
)

// Names in the configuration of the cases.
const (
	Host    = "ficu95.example"
	Service = "pool"
	// Resumable and Single are the prefixes of streams that may be resumed and that may
	// not.
	Resumable = "/lohu930/"
	Single    = "/pufi791/"
	Key       = "asnmgkcuyj8pjbvk9m68"
)

// Configure writes a configuration with two routes for streams of one service of model
// engines, as in the operators' examples.
func Configure(s *standin.Store) error {
	route := func(name, prefix string, attempts int, resume bool) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "prefix": prefix, "kind": "streaming", "timeoutMs": 10000, "targetLatencyMs": 800, "priority": 1,
			"service": Service, "maxAttempts": attempts, "public": false, "sticky": true, "streamResume": resume, "gapAimMs": 300,
		}
	}
	return s.Put("op", "config", map[string]any{
		"version": 7,
		"routes":  []any{route("r-plan", Resumable, 2, true), route("r-summary", Single, 1, false)},
		"services": []any{map[string]any{
			"name": Service, "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
			"engine": map[string]any{"slots": 64, "kvCapacityTokens": 493270, "kvTokenBytes": 163840, "linkMbps": 550000.0},
		}},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 350000,
		},
		"tenants": []any{map[string]any{"name": "hule930", "keys": []string{Key}, "priority": 1}},
	})
}

// Register writes the entry of a worker.
func Register(s *standin.Store, id, address, zone string, born int64) error {
	return s.Put("servers", id, map[string]any{
		"service": Service, "address": address, "zone": zone, "version": "v1", "slots": 64, "state": "ready", "coldLeftMs": 0,
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": 1, "born": born,
	})
}

// StreamHeader returns the header of a request for a stream.
func StreamHeader(id, session string) map[string]string {
	return map[string]string{
		"Attempt-Id": id, "Model": "m", "Token-Count": "1460,160", "Prompt-Prefix": "5c1e07a2:800,91bd3f06:410," + session + ":250",
		"Deadline-Ms": "10000", "Authorization": "Token " + Key,
	}
}
