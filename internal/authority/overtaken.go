package authority

// NewerFenceEpoch reports whether most engines that were heard hold the fence of a later
// epoch than this leader's, and the highest such epoch. No leader of the same quorum
// can be behind its engines; one of a quorum that was formed anew, after the old one
// was lost with its disks, is. A minority of engines is not believed: one that tells
// nonsense must not take authority from a leader.
func (c *Commander) NewerFenceEpoch() (epoch uint64, overtaken bool) {
	if c.epoch == 0 {
		return 0, false
	}
	heard, above := 0, 0
	for _, name := range c.names {
		engine := c.engines[name]
		if !engine.heard {
			continue
		}
		heard++
		if seen := engine.last.HighestFence.Epoch; seen > c.epoch {
			above++
			epoch = max(epoch, seen)
		}
	}
	return epoch, 2*above > heard
}
