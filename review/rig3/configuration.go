package main

// plainPath is the path of requests of the plain route.
const plainPath = "/status/1"

// Kinds of the plain route.
const (
	idempotent    = "idempotent"
	nonIdempotent = "non_idempotent"
)

// plainConfiguration is the operator's configuration with one plain route.
func plainConfiguration(version int, keys ...string) row {
	return jsonRow("op", "config", map[string]any{
		"version":  version,
		"routes":   []any{plainRoute(idempotent)},
		"services": []any{plainService()},
		"limits":   callerLimits(),
		"tenants":  tenants(keys...),
	})
}

// streamConfiguration is the operator's configuration with one route of streams that may
// be resumed.
func streamConfiguration() row {
	return jsonRow("op", "config", map[string]any{
		"version":  7,
		"routes":   []any{streamRoute()},
		"services": []any{streamService()},
		"limits":   callerLimits(),
		"tenants":  tenants("key"),
	})
}

func plainRoute(kind string) any {
	return map[string]any{
		"name": "r-1", "host": host, "prefix": "/status/", "kind": kind, "timeoutMs": 1000, "targetLatencyMs": 100, "priority": 2,
		"service": "desk", "maxAttempts": 2, "public": false, "sticky": false, "streamResume": false,
	}
}

func streamRoute() any {
	return map[string]any{
		"name": "r-2", "host": host, "prefix": "/plan/", "kind": "streaming", "timeoutMs": 10000, "targetLatencyMs": 800, "priority": 1,
		"service": "pool", "maxAttempts": 2, "public": false, "sticky": true, "streamResume": true, "gapAimMs": 300,
	}
}

func plainService() any {
	return map[string]any{"name": "desk", "healthPath": "/health", "maxConns": 110, "coldStartS": 0.0, "coldPerS": 0.0}
}

func streamService() any {
	return map[string]any{
		"name": "pool", "healthPath": "/health", "maxConns": 370, "coldStartS": 0.0, "coldPerS": 0.0,
		"engine": map[string]any{"slots": 64, "kvCapacityTokens": 493270, "models": []any{map[string]any{"name": "m"}}},
	}
}

func callerLimits() any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 350000}
}

func tenants(keys ...string) any {
	return []any{map[string]any{"name": "hule930", "keys": keys, "priority": 1}}
}
