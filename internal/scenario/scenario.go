// Package scenario describes a run of a fleet under load: engines, kinds of request, arrival
// rates over time, tenants and timed faults. It reads scenario files, validates them and
// draws their arrivals.
//
// The same scenario runs in virtual time and on a fleet of processes. All results depend on
// the file and the seed alone. docs/SCENARIOS.md describes each key.
package scenario

import "time"

// Scenario is the content of a scenario file. The struct tags define the keys, their defaults
// and the rules for single keys; check.go holds the rules between keys.
type Scenario struct {
	// Name is unique within a set of scenarios and identifies results. Required.
	Name string `yaml:"name" check:"required"`
	// Description states in one sentence what the scenario tests.
	Description string `yaml:"description"`
	// Deployment names the deployment, such as rawabi, whose declarations and settings are
	// used on a fleet of processes. Required.
	Deployment string `yaml:"deployment" check:"required"`
	// Duration is the period in which requests arrive. Required.
	Duration time.Duration `yaml:"duration" check:"required,positive"`
	// Zones of the engines and gateways. Required.
	Zones []Zone `yaml:"zones" check:"required"`
	// Latency is the one-way latency between zones and to clients.
	Latency Latency `yaml:"latency"`
	// Services that engines serve. Required.
	Services []Service `yaml:"services" check:"required"`
	// Kinds of request. Required.
	Kinds []Kind `yaml:"kinds" check:"required"`
	// Tenants that send the requests.
	Tenants Tenants `yaml:"tenants"`
	// Reports of the engines' load.
	Reports Reports `yaml:"reports"`
	// Faults that occur during the run.
	Faults []Fault `yaml:"faults"`
	// Trace adds arrivals from a CSV file.
	Trace Trace `yaml:"trace"`

	// traceArrivals are the arrivals that Load read from the trace.
	traceArrivals []Arrival
}

// Zone is a zone of the fleet.
type Zone struct {
	Name string `yaml:"name" check:"required"`
	// CallerWeight is the zone's share of the callers, relative to the other zones' weights.
	CallerWeight float64 `yaml:"caller_weight" default:"1" check:"not-negative"`
}

// Latency is the one-way latency between zones, and between zones and clients.
type Latency struct {
	BetweenZones time.Duration `yaml:"between_zones" default:"0s" check:"not-negative"`
	ToClients    time.Duration `yaml:"to_clients" default:"0s" check:"not-negative"`
}

// Tenants are the senders of the requests. The share of tenant i (from 1) is proportional to
// 1/i^skew; with skew 0 all shares are equal.
type Tenants struct {
	Count int     `yaml:"count" default:"1" check:"positive"`
	Skew  float64 `yaml:"skew" default:"0" check:"not-negative"`
}

// Reports are the engines' load reports to the planner.
type Reports struct {
	// Interval is the time between two reports of one engine.
	Interval time.Duration `yaml:"interval" default:"1s" check:"positive"`
	// Lag is the age of a report when the planner receives it.
	Lag time.Duration `yaml:"lag" default:"1s" check:"not-negative"`
}

// Trace is a CSV file of arrivals; docs/SCENARIOS.md describes its columns.
type Trace struct {
	// File is the path, relative to the scenario file's directory.
	File string `yaml:"file"`
}
