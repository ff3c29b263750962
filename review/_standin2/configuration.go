package main

import "encoding/json"

// routes returns a configuration with a route of each plain kind.
func routes(version uint64) []byte {
	newRoute := func(name, prefix, kind string, attempts int) route {
		return route{
			Name: name, Host: "h.example", PathPrefix: prefix, Kind: kind, TimeoutMs: 6000, TargetLatencyMs: 100, Service: "p", MaxAttempts: attempts,
		}
	}
	content, _ := json.Marshal(configuration{ // never fails for such values
		Version:  version,
		Routes:   []route{newRoute("r-unsafe", "/u/", "unsafe", 1), newRoute("r-safe", "/s/", "safe", 2)},
		Services: []service{{Name: "p", HealthPath: "/health", MaxConnections: 100, Protocol: "h1"}},
		Limits:   limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	})
	return content
}
