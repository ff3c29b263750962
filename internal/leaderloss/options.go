package leaderloss

import (
	"io"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/load"
)

// Options configure a run.
type Options struct {
	// Fleet is running, and its declarations have been applied.
	Fleet *fleet.Fleet
	// Load is sent from before the first fault until after the last; its length is the
	// maximum length of the run.
	Load load.Options
	// Rounds is how often the sequence of faults is repeated.
	Rounds int
	// MissedChanges is how many revisions of the configuration a controller misses: the run stops the controller, submits
	// changes until the revision has risen by this number, and starts the controller again.
	MissedChanges int
	// LeaderPause is how long a leader is suspended; it must exceed the lease and an election.
	LeaderPause time.Duration
	// OrderedEngines is the number of engines whose roles are changed throughout the run.
	OrderedEngines int
	// Progress receives a line for each fault.
	Progress io.Writer
}
