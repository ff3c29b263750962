package main

import "encoding/json"

// routes returns a configuration with a route of each plain kind, as an operator sends it.
func routes(version uint64) []byte {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": "h.example", "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 6000, "TargetLatencyMs": 100, "Priority": 0,
			"Service": "p", "MaxAttempts": attempts, "Sticky": false, "AllowResume": false,
		}
	}
	content, _ := json.Marshal(map[string]any{ // never fails for such values
		"Version":  version,
		"Routes":   []any{route("r-unsafe", "/u/", "unsafe", 1), route("r-safe", "/s/", "safe", 2)},
		"Services": []any{map[string]any{"Name": "p", "HealthPath": "/health", "MaxConnections": 100, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	return content
}
