package soak

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// Options are what a run is made of.
type Options struct {
	// Seed draws requests and faults.
	Seed uint64
	// Controllers, Relays, Pages and Engines are the numbers of processes and back ends.
	Controllers, Relays, Pages, Engines int
	// Clients is how many clients send at the same time, Poisons how many different requests that end
	// their back ends are sent again and again.
	Clients, Poisons int
	// FaultDuration is how long faults go on; QuietDuration how long the run goes on after the last one.
	FaultDuration, QuietDuration time.Duration
	// Directory is where settings, disks and logs go.
	Directory string
	// Program is the server that is run; empty for this program itself with Serve as its first argument.
	Program, Serve string
	// OtherProgram is the server of another build, empty for none: processes are replaced by it and back, in any order. Plain
	// leaves out what back ends ask for that the first format knows nothing of: rests, limits, starts under one identity.
	OtherProgram    string
	FirstFormatOnly bool
	// CheckTimeBounds also checks the rules that have time bounds: not on a machine that is busy with other work.
	CheckTimeBounds bool
	// Progress is told each fault; nil for nobody.
	Progress func(line string)
}

// bounds are what the rules give; those of the users' smaller sites.
var bounds = history.Bounds{
	Contact: 3 * time.Second, Grace: relayGrace, ConfigApply: 2 * time.Second, Drain: 3 * time.Second, LossSlack: 200 * time.Millisecond,
	Lease: 3 * time.Second, Recovery: 12 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 54,
}
