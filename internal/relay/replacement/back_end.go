// Package replacement decides whether another back end can take over a request whose back end is silent. An answer is ended
// only for a replacement that is possible at that moment: silence alone does not show that the answer is lost. The package
// does no I/O and reads no clock.
package replacement

import "time"

// silentShare is the share of a watch's limit from which another back end counts as silent too. Back ends that fall silent
// together, as behind a failed switch, are not noticed at the same moment.
const silentShare = 0.5

// BackEnd is the state of a back end that might take over a request.
type BackEnd struct {
	// IsTried is true if the request was sent to the back end already.
	IsTried bool
	// IsClosed is true if the back end is leaving or changes its stage.
	IsClosed bool
	// IsLimited is true if the back end has a limit: whether it leaves room is known only to the limit's owner.
	IsLimited bool
	// SendDelay is how much longer nothing may be sent to the back end; AvoidedFor is how much longer it is avoided after a
	// failure or a refusal.
	SendDelay, AvoidedFor time.Duration
	// SilentFor is how long exchanges have waited without a byte from the back end; 0 if none waits.
	SilentFor time.Duration
	// Running is the known number of requests at the back end, and Slots how many it runs at once, 0 if unknown.
	Running, Slots int
}

// CanTakeOver reports whether the back end can take the request now from one that has been silent for the limit of its watch.
func (b BackEnd) CanTakeOver(limit time.Duration) bool {
	isAvailable := !b.IsTried && !b.IsClosed && !b.IsLimited && b.SendDelay <= 0 && b.AvoidedFor <= 0
	hasSlot := b.Slots <= 0 || b.Running < b.Slots
	return isAvailable && hasSlot && b.SilentFor < time.Duration(silentShare*float64(limit))
}
