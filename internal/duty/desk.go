package duty

import "time"

// Matter is what calls are about: the platform judges the holders of each matter by itself.
type Matter string

// Config bounds the calls of one holder.
type Config struct {
	// Interval is the least time between two calls; 0 for any.
	Interval time.Duration
	// Pause is the wait before a call that was not taken is made again.
	Pause time.Duration
}

// DefaultPause suits a platform that is slow or busy: a call takes some ten milliseconds otherwise.
const DefaultPause = 400 * time.Millisecond

// Desk keeps the calls of one holder. Times are durations since an origin that never go back.
type Desk struct {
	config  Config
	matters map[Matter]*matter
	nextAt  time.Duration
}

// matter is what is known of the calls on one matter.
type matter struct {
	underWay  bool
	overtaken bool
	nextAt    time.Duration
}

// NewDesk returns the desk of a holder that begins.
func NewDesk(config Config) *Desk {
	if config.Pause == 0 {
		config.Pause = DefaultPause
	}
	return &Desk{config: config, matters: map[Matter]*matter{}}
}

// May reports whether a call on a matter may be made now.
func (d *Desk) May(now time.Duration, about Matter) bool {
	of := d.of(about)
	return !of.underWay && !of.overtaken && now >= of.nextAt && now >= d.nextAt
}

// Began notes that a call was made. Answered must follow.
func (d *Desk) Began(now time.Duration, about Matter) {
	d.of(about).underWay = true
	d.nextAt = now + d.config.Interval
}

// Answered notes what became of the call on a matter.
func (d *Desk) Answered(now time.Duration, about Matter, outcome Outcome) {
	of := d.of(about)
	of.underWay = false
	switch outcome {
	case Taken:
		of.nextAt = now
	case Overtaken:
		of.overtaken = true
	default:
		of.nextAt = now + d.config.Pause
	}
}

// Overtaken reports whether a later holder was seen on a matter.
func (d *Desk) Overtaken(about Matter) bool { return d.of(about).overtaken }

func (d *Desk) of(about Matter) *matter {
	if d.matters[about] == nil {
		d.matters[about] = &matter{}
	}
	return d.matters[about]
}
