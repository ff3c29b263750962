package slotqueue

// Config configures a Queue.
type Config struct {
	// Returns plans the returns of refused clients; nil for none.
	Returns Returns
	// Draw returns random numbers in [0, 1) that spread promised times within their span; nil for the middle of the span.
	Draw func() float64
}

// middleDraw replaces the random numbers of a Config without Draw.
const middleDraw = 0.5

func (c *Config) setDefaults() {
	if c.Draw == nil {
		c.Draw = func() float64 { return middleDraw }
	}
}
