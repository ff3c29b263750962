package stageplan

// Reason is why an engine changes its stage, as it appears in log lines.
type Reason string

// Reasons of changes.
const (
	// ByLoad: one stage has more work than it can do in time.
	ByLoad Reason = "load"
	// BySpeed: a decode engine would break the gap targets, or takes the place of one that does.
	BySpeed Reason = "speed"
	// ByPrior: the work is not known yet.
	ByPrior Reason = "prior"
	// ByStart: the engine has just started to serve, and its group is short of a stage.
	ByStart Reason = "start"
)

// withReason sets the reason of changes.
func withReason(changes []Change, reason Reason) []Change {
	for index := range changes {
		changes[index].Reason = reason
	}
	return changes
}
