package simulation

import "time"

// host is a machine with one process that can be killed and paused.
type host struct {
	name    string
	world   *world
	isAlive bool
	// generation grows with each start and kill, so that events for an earlier process are dropped.
	generation int
	isPaused   bool
	// waiting holds the events that arrived while the process was paused.
	waiting []func()
	clock   clock
}

// guard wraps an event of this process: it is dropped after a crash and deferred during a pause.
func (h *host) guard(do func()) func() {
	return h.guardGeneration(h.generation, do)
}

// guardGeneration wraps an event like guard, but for the process of the given generation.
func (h *host) guardGeneration(generation int, do func()) func() {
	return func() {
		if generation != h.generation {
			return
		}
		h.runOrDefer(do)
	}
}

// runOrDefer runs an event now, defers it when the process is paused, and drops it when no process is alive.
func (h *host) runOrDefer(do func()) {
	if !h.isAlive {
		return
	}
	if h.isPaused {
		h.waiting = append(h.waiting, do)
		return
	}
	do()
}

// after schedules an event of this process after a delay.
func (h *host) after(delay time.Duration, do func()) {
	h.world.after(delay, h.guard(do))
}

// every repeats an event of this process until the process ends.
func (h *host) every(interval time.Duration, do func()) {
	h.after(interval, func() {
		do()
		h.every(interval, do)
	})
}

// boot begins a new process with a new clock.
func (h *host) boot() {
	h.isAlive = true
	h.isPaused = false
	h.waiting = nil
	h.generation++
	h.clock = h.world.newClock()
}

// kill ends the process; its pending events are dropped.
func (h *host) kill() {
	h.isAlive = false
	h.isPaused = false
	h.waiting = nil
	h.generation++
}

// pause stops the process until resume.
func (h *host) pause() {
	if h.isAlive {
		h.isPaused = true
	}
}

// resume ends a pause and runs the deferred events in the order of their arrival.
func (h *host) resume() {
	if !h.isPaused {
		return
	}
	h.isPaused = false
	waiting := h.waiting
	h.waiting = nil
	for i, do := range waiting {
		if !h.isAlive {
			return
		}
		if h.isPaused {
			h.waiting = append(h.waiting, waiting[i:]...)
			return
		}
		do()
	}
}

// local returns the time on this process's clock.
func (h *host) local() time.Duration { return h.clock.read(h.world.now) }
