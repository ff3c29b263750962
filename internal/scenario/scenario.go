// Package scenario describes a run of a fleet under load: engines, kinds of request,
// how their arrivals change over time, tenants, and faults at times. It reads
// scenario files, checks them as a whole and draws their arrivals.
//
// The same scenario runs in virtual time and on a fleet of processes. Everything
// here depends on the file and the seed alone. docs/SCENARIOS.md describes each key.
package scenario

import "time"

// Scenario is one scenario file. The struct tags state the keys, their defaults and
// the rules of single keys; check.go holds the rules between keys.
type Scenario struct {
	// Name is unique in a set of scenarios; results carry it. Required.
	Name string `yaml:"name" check:"required"`
	// Description says in a sentence what the scenario is to show.
	Description string `yaml:"description"`
	// Deployment names the deployment whose declarations and settings a run on real
	// processes takes, such as rawabi. Required.
	Deployment string `yaml:"deployment" check:"required"`
	// Duration is the time in which requests arrive. Required.
	Duration time.Duration `yaml:"duration" check:"required,positive"`
	// Zones are the places of engines and gateways. Required.
	Zones []Zone `yaml:"zones" check:"required"`
	// Latency between the places, one way.
	Latency Latency `yaml:"latency"`
	// Services with engines. Required.
	Services []Service `yaml:"services" check:"required"`
	// Kinds of request. Required.
	Kinds []Kind `yaml:"kinds" check:"required"`
	// Tenants that send the requests.
	Tenants Tenants `yaml:"tenants"`
	// Reports of engines' load.
	Reports Reports `yaml:"reports"`
	// Faults that happen during the run.
	Faults []Fault `yaml:"faults"`
	// Trace adds arrivals read from a CSV file.
	Trace Trace `yaml:"trace"`

	// traced are the arrivals that Load read from the trace.
	traced []Arrival
}

// Zone is one place.
type Zone struct {
	Name string `yaml:"name" check:"required"`
	// CallerWeight is the zone's part of the callers, relative to the other zones'.
	CallerWeight float64 `yaml:"caller_weight" default:"1" check:"not-negative"`
}

// Latency is the one-way latency between places.
type Latency struct {
	BetweenZones time.Duration `yaml:"between_zones" default:"0s" check:"not-negative"`
	ToClients    time.Duration `yaml:"to_clients" default:"0s" check:"not-negative"`
}

// Tenants are the senders of the requests. Tenant i (from 1) sends a part in
// proportion to 1/i^skew: 0 is equal parts.
type Tenants struct {
	Count int     `yaml:"count" default:"1" check:"positive"`
	Skew  float64 `yaml:"skew" default:"0" check:"not-negative"`
}

// Reports are the load reports that the planner sees.
type Reports struct {
	// Interval between two reports of one engine.
	Interval time.Duration `yaml:"interval" default:"1s" check:"positive"`
	// Lag is the age of a report when the planner sees it.
	Lag time.Duration `yaml:"lag" default:"1s" check:"not-negative"`
}

// Trace is a CSV file of arrivals; docs/SCENARIOS.md describes its columns.
type Trace struct {
	// File is the path, relative to the scenario file's directory.
	File string `yaml:"file"`
}
