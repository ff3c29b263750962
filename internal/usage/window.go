package usage

import "time"

// Window is the number of a window of true time in which usage is counted. Window k begins k window
// lengths after the Unix epoch.
type Window int64

// WindowAt returns the window of a time in milliseconds since the Unix epoch.
func WindowAt(timeOfDayMs int64, length time.Duration) Window {
	return Window(timeOfDayMs / length.Milliseconds())
}

// EndMs returns the end of the window in milliseconds since the Unix epoch.
func (w Window) EndMs(length time.Duration) int64 { return int64(w+1) * length.Milliseconds() }
