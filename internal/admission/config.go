package admission

import (
	"time"

	"github.com/gravitational/trace"
)

const (
	defaultQueueLength     = 1024
	defaultQueueBytes      = 64 << 20
	defaultMaximumInFlight = 4096
	defaultOutputWeight    = 8
	defaultWaitTarget      = time.Second
	defaultInitialWindow   = 64 * 4000
	defaultMinimumWindow   = 4 * 4000
	defaultWorthBound      = 2
	defaultPredictionSlack = 1.5
)

// Config holds the parameters of a Core. They are fixed once the Core is created.
type Config struct {
	// QueueLength and QueueBytes limit the waiting requests; defaults 1024 and 64 MiB.
	QueueLength int
	QueueBytes  int64
	// MaximumInFlight limits the requests in flight; default 4096.
	MaximumInFlight int
	// OutputWeight is the cost of one output token, in prompt tokens; default 8.
	OutputWeight float64
	// WaitTarget is the queueing time at back ends above which the window of requests in flight shrinks; default 1 s.
	WaitTarget time.Duration
	// InitialWindow and MinimumWindow are the initial and the smallest limit on the cost in flight,
	// in prompt tokens; defaults 256,000 and 16,000. One request may always be in flight.
	InitialWindow float64
	MinimumWindow float64
	// WorthBound is the largest factor by which worth per token raises or lowers a tenant's
	// weight; default 2. With 1, only the configured weights count.
	WorthBound float64
	// PredictionSlack is the factor by which the predicted wait must exceed the time left until
	// the latest start before a request is refused early; default 1.5.
	PredictionSlack float64
	// FirstInFirstOut disables fair queueing and worth. It exists for comparison only.
	FirstInFirstOut bool
}

func (c *Config) checkAndSetDefaults() error {
	if c.QueueLength < 0 || c.QueueBytes < 0 || c.MaximumInFlight < 0 {
		return trace.BadParameter("admission: QueueLength, QueueBytes and MaximumInFlight must not be negative")
	}
	if c.WorthBound != 0 && c.WorthBound < 1 {
		return trace.BadParameter("admission: WorthBound is %v; it must be at least 1", c.WorthBound)
	}
	setDefault(&c.QueueLength, defaultQueueLength)
	setDefault(&c.QueueBytes, defaultQueueBytes)
	setDefault(&c.MaximumInFlight, defaultMaximumInFlight)
	setDefault(&c.OutputWeight, defaultOutputWeight)
	setDefault(&c.WaitTarget, defaultWaitTarget)
	setDefault(&c.InitialWindow, defaultInitialWindow)
	setDefault(&c.MinimumWindow, defaultMinimumWindow)
	setDefault(&c.WorthBound, defaultWorthBound)
	setDefault(&c.PredictionSlack, defaultPredictionSlack)
	return nil
}

func setDefault[T int | int64 | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
