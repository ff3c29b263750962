package placement

import "time"

// RunProgress is the progress of a running stream at its decode engine.
type RunProgress struct {
	// EventTime is the mean time between its last events; 0 if unknown.
	EventTime time.Duration
	// RemainingEvents is the largest number of events that are still to come.
	RemainingEvents int
	// TimeLeft is the time until the client's deadline, and TimeAllowed the whole time from the request to the deadline.
	TimeLeft, TimeAllowed time.Duration
}

// ShouldMigrate reports whether a stream should continue at a faster engine, because it would not end before the client's
// deadline. Most streams end long before the largest number of events, so that only those that still run after
// MigrationTimeShare of their time are considered. A stream whose events come too slowly for its gap target stays: the
// transfer of its KV cache is a pause as well, so that the move itself would exceed the target.
func (p Parameters) ShouldMigrate(run RunProgress) bool {
	if run.EventTime <= 0 || run.RemainingEvents < p.MinMigrationEvents || run.TimeLeft > scale(run.TimeAllowed, 1-p.MigrationTimeShare) {
		return false
	}
	return time.Duration(run.RemainingEvents)*run.EventTime > run.TimeLeft
}
