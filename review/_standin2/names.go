package main

import "github.com/hazelpitch/hazelpitch/platform"

// dialect holds the platform's names of headers and paths.
var dialect = platform.Dialect()

// instance is one entry of the platform's list.
type instance struct {
	Id, Service, Address, Zone, Version, State string
	Slots, ColdRemainingMs                     int
}

// instancePage is a page of the platform's list.
type instancePage struct {
	Instances     []instance
	NextPageToken *string
}

// route, service and limits are parts of a configuration.
type (
	route struct {
		Name, Host, PathPrefix, Kind, Service             string
		TimeoutMs, TargetLatencyMs, Priority, MaxAttempts int
		Sticky, AllowResume                               bool
	}
	service struct {
		Name, HealthPath, Protocol string
		MaxConnections             int
		Tls                        bool
	}
	limits struct {
		MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int
	}
)

// configuration is a configuration as an operator sends it.
type configuration struct {
	Version  uint64
	Routes   []route
	Services []service
	Limits   limits
}
