package simulation

import "time"

// host is a machine with one process on it: it can be killed and paused.
type host struct {
	name    string
	world   *world
	isAlive bool
	// generation grows with each start: what was meant for an earlier process is dropped.
	generation int
	isPaused   bool
	// waiting is what has arrived while the process was paused.
	waiting []func()
	clock   clock
}

// guard wraps something of this process: it does not happen after a crash, and waits
// for the end of a pause.
func (h *host) guard(do func()) func() {
	return h.guardGeneration(h.generation, do)
}

// guardGeneration is here for the process of a generation.
func (h *host) guardGeneration(generation int, do func()) func() {
	return func() {
		if generation != h.generation {
			return
		}
		h.runOrDefer(do)
	}
}

// runOrDefer lets something happen at this host as soon as its process runs.
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

// after lets something happen in this process after a delay.
func (h *host) after(delay time.Duration, do func()) {
	h.world.after(delay, h.guard(do))
}

// every repeats something in this process until it ends.
func (h *host) every(interval time.Duration, do func()) {
	h.after(interval, func() {
		do()
		h.every(interval, do)
	})
}

// boot starts a process with a new clock.
func (h *host) boot() {
	h.isAlive = true
	h.isPaused = false
	h.waiting = nil
	h.generation++
	h.clock = h.world.newClock()
}

// kill ends the process.
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

// resume lets the process go on with everything that has arrived meanwhile.
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

// local returns the time on this process's own clock.
func (h *host) local() time.Duration { return h.clock.read(h.world.now) }
