package control

import v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"

// recordLocalClock records this machine's time of day.
func (c *Core) recordLocalClock(tick Tick) {
	reading := tick.TimeOfDayMs
	if reading == 0 {
		reading = c.wallMs()
	}
	c.clock.AddReading(c.now, reading)
}

// recordPeerClock records the time of day that another controller reports.
func (c *Core) recordPeerClock(message *v1.ConsensusMessage) {
	if message.GetTimeOfDayMs() != 0 {
		c.clock.AddPeerReading(c.now, message.GetFrom(), message.GetTimeOfDayMs())
	}
}

// trueTime returns the time of day on which the controllers agree, in milliseconds since the Unix epoch;
// agreed is false while they do not agree.
func (c *Core) trueTime() (timeOfDayMs int64, agreed bool) {
	return c.clock.AgreedTime(c.now, len(c.consensus.Membership().GetMembers()))
}
