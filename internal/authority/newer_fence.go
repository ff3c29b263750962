package authority

// NewerFenceEpoch returns the highest epoch above this leader's that any reporting engine holds a
// fence of, and whether the majority of the reporting engines hold fences above this leader's epoch.
// A leader of the same quorum can never be behind its engines; a leader of a quorum that was formed
// anew, after the previous one was lost with its disks, is. A minority does not count, so that a faulty
// engine cannot take authority from a leader.
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
