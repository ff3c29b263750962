package leaderloss

import (
	"io"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/load"
)

// Options are what a run is started with.
type Options struct {
	// Fleet is booted, with its declarations in force.
	Fleet *fleet.Fleet
	// Load is sent from before the first fault until after the last; its length is
	// the longest that a run may take.
	Load load.Options
	// Rounds is how often each fault is repeated.
	Rounds int
	// MissedChanges is the number of changes that a controller misses before it restarts.
	MissedChanges int
	// LeaderPause is how long a leader is stopped; it must exceed the lease and the election.
	LeaderPause time.Duration
	// OrderedEngines is the number of engines whose roles are changed all the time.
	OrderedEngines int
	// Progress gets a line for each fault.
	Progress io.Writer
}
