package authority

// NewerFenceEpoch returns the highest fence epoch above this leader's that any engine reports, and
// whether the majority of the reporting engines have a fence above this leader's epoch. Within one
// quorum, engines never have a newer fence than the leader. They do when a quorum was formed anew,
// because the previous one was lost with its disks. A minority does not count, so that a faulty engine
// cannot take authority from a leader.
func (c *Commander) NewerFenceEpoch() (epoch uint64, isMajority bool) {
	if c.epoch == 0 {
		return 0, false
	}
	reporting, above := 0, 0
	for _, name := range c.names {
		engine := c.engines[name]
		if !engine.hasState {
			continue
		}
		reporting++
		if fenceEpoch := engine.state.HighestFence.Epoch; fenceEpoch > c.epoch {
			above++
			epoch = max(epoch, fenceEpoch)
		}
	}
	return epoch, 2*above > reporting
}
