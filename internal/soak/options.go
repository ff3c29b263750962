package soak

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// Options are the settings of a run.
type Options struct {
	// Seed is the seed from which requests and faults are drawn.
	Seed uint64
	// Controllers, Relays, Pages and Engines are the numbers of processes and back ends.
	Controllers, Relays, Pages, Engines int
	// Clients is how many clients send at the same time. Poisons is how many different requests that crash their back
	// ends are sent, each of them repeatedly.
	Clients, Poisons int
	// FaultDuration is how long faults are injected, QuietDuration how long the run continues after the last fault.
	FaultDuration, QuietDuration time.Duration
	// Directory is where settings, disks and logs are stored.
	Directory string
	// Program is the path of the server to run; empty for this program itself with Serve as its first argument.
	Program, Serve string
	// OtherProgram is the path of a server of another build, empty for none: processes are replaced by this build and
	// back, in any order. FirstFormatOnly leaves out what builds of the first format cannot handle: back ends that
	// ask for backoff, limits, and incarnations under one identity.
	OtherProgram    string
	FirstFormatOnly bool
	// Uneven makes engines, and back ends with few slots, report a slowdown that changes many times a second and work
	// accordingly; a third of the engines are always slow and the others fast.
	Uneven bool
	// Pressure adds a service with fewer slots than there are relays, and tenants that ask for more than it carries at
	// times. It takes MinPressureRelays relays. Some seeds make relays share the slots, and strike the relay that owns them.
	Pressure bool
	// CheckReturns requires, in seeds that share slots, that clients that return as told and tenants that ask for less than
	// their share are served, and keeps faults from the owner of the slots and the back ends with few slots.
	CheckReturns bool
	// StandStill makes sound back ends, single ones and several at once, stand still for a second or so, beside reloads and
	// stops of relays.
	StandStill bool
	// BackEndCuts cuts relays off from all back ends, one, half of a zone, or a zone. Relays and back ends are in two zones
	// then. It takes MinCutRelays relays, and neither Program nor OtherProgram.
	BackEndCuts bool
	// Versions makes each engine start with one of several software versions, crash within streams more often, and clients take up
	// streams that break off, at any relay.
	Versions bool
	// Unframed makes a share of the answers of back ends end with their connection, whole or broken off.
	Unframed bool
	// LongRequests makes a share of the requests long. Back ends answer some of these before they have received them, and break off.
	LongRequests bool
	// DeadlyParts is how many parts of prompts crash each back end that begins to answer a request with them. Requests with them are all
	// different, and share their first part with sound ones.
	DeadlyParts int
	// HotRelay makes most new connections go to one relay for some seconds, and then to another one, while clients open new ones
	// more often.
	HotRelay bool
	// ManyChanges submits large configurations in quick succession. At the end all controllers are killed together, and one of
	// them comes back with an empty disk.
	ManyChanges bool
	// ControllerCuts cuts controllers from each other, the last time while nothing else happens. It takes MinCutControllers
	// controllers, and neither Program nor OtherProgram.
	ControllerCuts bool
	// FinalFault ends the run with a fault of all controllers, drawn from the seed, after which the newest acknowledged
	// configuration is read back and requests are served.
	FinalFault bool
	// Releases replaces the engines by others of new software versions, again and again, or back to an older one, and kills all relays or
	// all processes, or holds a relay out of step, at drawn moments of these releases. Answers are garbled, connections reset, and streams
	// differ in length; clients take up streams that break off. Relays and back ends are in three zones. It takes neither Program nor
	// OtherProgram. ReleasesAlone leaves out all other faults.
	Releases, ReleasesAlone bool
	// Moves adds a second service of engines. Series of configurations lead the routes of streams that may be resumed to it and back, split
	// them between both, and add and remove a route for a narrower prefix, while relays are killed, or one is out of step. Answers, streams
	// and clients are as with Releases. It takes neither Program nor OtherProgram. ReleasesAlone leaves out all other faults here too.
	Moves bool
	// CheckTimeBounds also checks the rules with time bounds, which can fail on a machine that is busy with other work.
	CheckTimeBounds bool
	// Progress is called with one line for each fault; nil for no reports.
	Progress func(line string)
}

// bounds are the time bounds of the rules, with the values of the users' smaller sites.
var bounds = history.Bounds{
	Contact: 3 * time.Second, Grace: relayGrace, ConfigApply: 2 * time.Second, Drain: 3 * time.Second, LossSlack: 200 * time.Millisecond,
	Lease: 3 * time.Second, Recovery: 12 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 54,
}

// cutsControllers reports whether controllers may be cut from each other in the run.
func (o Options) cutsControllers() bool {
	return o.ControllerCuts || o.FinalFault && o.Program == "" && o.OtherProgram == ""
}
