package main

import "github.com/hazelpitch/hazelpitch/platform"

// dialect holds the platform's names of headers and paths.
var dialect = platform.Dialect()

// route and service are entries of a configuration, limits its limits on clients.
type (
	route struct {
		Name, Host, PathPrefix, Kind, Service   string
		TimeoutMs, TargetLatencyMs, TargetGapMs int
		Priority, MaxAttempts                   int
		Sticky, AllowResume                     bool
	}
	service struct {
		Name, HealthPath, Protocol string
		MaxConnections             int
		Tls                        bool
	}
	limits struct{ MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int }
)

// configuration is a configuration as the operator sends it.
type configuration struct {
	Version  int
	Routes   []route
	Services []service
	Limits   limits
}

// streamRoutes returns a route for streams that may be resumed, and streamServices its service.
func streamRoutes() []route {
	return []route{{
		Name: "stream", Host: "review.example", PathPrefix: "/stream/", Kind: "streaming", TimeoutMs: 6000, TargetLatencyMs: 600, TargetGapMs: 300,
		Service: "writers", MaxAttempts: 2, AllowResume: true,
	}}
}

func streamServices() []service {
	return []service{{Name: "writers", HealthPath: "/health", MaxConnections: 100, Protocol: "h1"}}
}
