package simulation

import "time"

// start begins a fault and returns the function that ends it, or nil when the fault is not possible now. It draws the
// same values for all kinds.
func (f *faults) start(kind FaultKind) func() {
	w := f.world
	controller := w.controllers[w.random.IntN(len(w.controllers))]
	engine := w.engines[w.random.IntN(len(w.engines))]
	gateway := w.gateways[w.random.IntN(len(w.gateways))]
	switch kind {
	case FaultCrashEngine:
		return f.crashEngine(kind, engine)
	case FaultCrashChanging:
		return f.crashChanging(kind)
	case FaultPauseEngine:
		return f.pause(kind, &engine.host)
	case FaultEngineLeaves:
		return f.removeEngine(kind, engine)
	case FaultCrashGateway:
		return f.crashGateway(kind, gateway)
	case FaultPauseGateway:
		return f.pause(kind, &gateway.host)
	case FaultLull:
		f.traceFault(kind, "begins")
		w.lulls++
		return func() { w.lulls-- }
	case FaultListLag:
		w.platform.lag = w.drawDuration(longestListLag)
		f.traceFault(kind, "%v", w.platform.lag)
		return func() { w.platform.lag = 0 }
	default:
		if end, isHandled := f.startAtController(kind, controller); isHandled {
			return end
		}
		return f.startNetwork(kind, controller, engine, gateway)
	}
}

// startAtController begins a fault of a controller's process or disk. It returns false for other kinds.
func (f *faults) startAtController(kind FaultKind, controller *controller) (end func(), isHandled bool) {
	switch kind {
	case FaultCrashController:
		return f.crashController(kind, controller), true
	case FaultRestartTogether:
		return f.restartTogether(kind, controller), true
	case FaultReplaceBuild:
		return f.replaceBuild(kind, controller), true
	case FaultReplaceDisk:
		return f.replaceDisk(kind, controller), true
	case FaultSecondLoss:
		return f.loseSecondDisk(kind, controller), true
	case FaultStopController:
		return f.stopController(kind, controller), true
	case FaultSwapVoter:
		return f.swapVoter(kind), true
	case FaultPauseController:
		return f.pause(kind, &controller.host), true
	case FaultStallController:
		return f.stallInStep(kind, controller), true
	case FaultStallOrder:
		return f.stallBeforeOrder(kind, controller), true
	case FaultSlowDisk:
		f.traceFault(kind, "%s", controller.name)
		controller.slowDisk = true
		return func() { controller.slowDisk = false }, true
	default:
		return nil, false
	}
}

// crashController crashes a controller and restarts it when the fault ends.
func (f *faults) crashController(kind FaultKind, c *controller) func() {
	if !c.isAlive {
		return nil
	}
	f.traceFault(kind, "%s", c.name)
	c.crash()
	return c.startIfDown
}

// restartTogether crashes all controllers at once and restarts them when the fault ends. In half of the cases one
// controller keeps running, cut off from the others until they have had time for an election.
func (f *faults) restartTogether(kind FaultKind, survivor *controller) func() {
	w := f.world
	var cuts []link
	if w.random.IntN(2) == 0 {
		survivor = nil
		f.traceFault(kind, "all")
	} else {
		f.traceFault(kind, "all but %s", survivor.name)
		cuts = w.peerLinks(survivor)
	}
	for _, cut := range cuts {
		w.network.cuts[cut]++
	}
	for _, each := range w.controllers {
		if each != survivor && each.isAlive {
			each.crash()
		}
	}
	return func() {
		for _, each := range w.controllers {
			each.startIfDown()
		}
		w.after(longestFault, func() {
			for _, cut := range cuts {
				w.network.cuts[cut]--
			}
		})
	}
}

// replaceDisk crashes a controller and restarts it with an empty disk when the fault ends. It does so only when every
// earlier replacement is complete, since no replicated log survives the loss of more disks than a minority.
func (f *faults) replaceDisk(kind FaultKind, c *controller) func() {
	if !c.isAlive || f.world.isSwapping || !f.world.isMembershipComplete() {
		return nil
	}
	f.traceFault(kind, "%s", c.name)
	c.crash()
	c.replaceDisk()
	return c.startIfDown
}

// repairPoll is the time between two checks whether a repair is complete. The second loss follows within this time.
const repairPoll = 5 * time.Millisecond

// loseSecondDisk replaces the disk of one controller. As soon as the new disk is a voter and the lost one no longer a
// member, it replaces the disk of another controller, which stays down until the fault ends.
func (f *faults) loseSecondDisk(kind FaultKind, first *controller) func() {
	start := f.replaceDisk(kind, first)
	if start == nil {
		return nil
	}
	start()
	second := f.world.controllers[f.world.random.IntN(len(f.world.controllers))]
	end := func() {}
	ended := false
	var poll func()
	poll = func() {
		switch {
		case ended || second == first:
		case !f.world.isMembershipComplete():
			f.world.after(repairPoll, poll)
		default:
			if restart := f.replaceDisk(kind, second); restart != nil {
				f.counts[FaultSecondLost]++
				end = restart
			}
		}
	}
	poll()
	return func() {
		ended = true
		end()
	}
}

// pause pauses a process until the fault ends.
func (f *faults) pause(kind FaultKind, h *host) func() {
	if !h.isAlive || h.isPaused {
		return nil
	}
	f.traceFault(kind, "%s", h.name)
	h.pause()
	return h.resume
}

// stallInStep pauses a controller between a step and the execution of its outputs.
func (f *faults) stallInStep(kind FaultKind, c *controller) func() {
	if !c.isAlive || c.isPaused || c.isStalled {
		return nil
	}
	f.traceFault(kind, "%s", c.name)
	c.isStalled = true
	return func() {
		c.isStalled = false
		c.resume()
	}
}

// stallBeforeOrder pauses a controller when it next sends an order. The order is sent only at the end of the pause, when
// another controller may lead.
func (f *faults) stallBeforeOrder(kind FaultKind, c *controller) func() {
	if !c.isAlive || c.isPaused || c.isStalled || c.stallsBeforeOrder {
		return nil
	}
	f.traceFault(kind, "%s", c.name)
	c.stallsBeforeOrder = true
	return func() {
		c.stallsBeforeOrder, c.isStalled = false, false
		c.resume()
	}
}

// crashEngine kills an engine in whatever phase it is, and restarts it when the fault ends.
func (f *faults) crashEngine(kind FaultKind, e *engine) func() {
	if !e.isAlive {
		return nil
	}
	f.traceFault(kind, "%s in phase %s", e.name, e.durable.Phase)
	e.kill()
	return func() {
		if !e.isGone {
			e.start()
		}
	}
}

// crashChanging crashes an engine that is executing an order.
func (f *faults) crashChanging(kind FaultKind) func() {
	for _, e := range f.world.engines {
		if e.hasOrderUnderWay() {
			return f.crashEngine(kind, e)
		}
	}
	return nil
}

// removeEngine removes a machine; one with the same name replaces it when the fault ends.
func (f *faults) removeEngine(kind FaultKind, e *engine) func() {
	if !e.isAlive || e.isPaused || e.isLeaving {
		return nil
	}
	f.traceFault(kind, "%s", e.name)
	e.leave()
	f.world.platform.update()
	return func() {
		e.isLeaving = false
		e.machine = nil
		e.kill()
		e.start()
		f.world.platform.update()
	}
}

// crashGateway kills a gateway and restarts it when the fault ends.
func (f *faults) crashGateway(kind FaultKind, g *gateway) func() {
	if !g.isAlive {
		return nil
	}
	f.traceFault(kind, "%s", g.name)
	g.kill()
	return g.start
}
