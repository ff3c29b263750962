package speeds

import "time"

// windowEvents is the number of gaps over which step times are averaged: the arrival of a single event varies by more
// than the speeds of engines differ.
const windowEvents = 4

// GapMeter derives step times from the arrivals of one run's events.
type GapMeter struct {
	arrivals [windowEvents + 1]time.Duration
	count    int
}

// Events returns the number of events that have arrived.
func (m *GapMeter) Events() int { return m.count }

// Arrived records the arrival of an event with the given number of tokens. It returns the mean time of a decode step over
// the last complete events before this one; 0 while there are too few. The newest event is left out because the last
// event of a stream may hold fewer tokens.
func (m *GapMeter) Arrived(now time.Duration, tokensPerEvent int) (step time.Duration) {
	if m.count > windowEvents && tokensPerEvent > 0 {
		newest, oldest := m.arrivals[(m.count-1)%len(m.arrivals)], m.arrivals[m.count%len(m.arrivals)]
		step = (newest - oldest) / time.Duration(windowEvents*tokensPerEvent)
	}
	m.arrivals[m.count%len(m.arrivals)] = now
	m.count++
	return step
}
