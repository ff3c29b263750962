package usage

import "time"

// Window numbers the spans of true time in which usage is counted: window k begins k lengths after
// the start of 1970.
type Window int64

// WindowAt returns the window of a time of day in milliseconds since the start of 1970.
func WindowAt(timeOfDayMs int64, length time.Duration) Window {
	return Window(timeOfDayMs / length.Milliseconds())
}

// EndMs returns the time of day at which the window ends, in milliseconds since the start of 1970.
func (w Window) EndMs(length time.Duration) int64 { return int64(w+1) * length.Milliseconds() }
