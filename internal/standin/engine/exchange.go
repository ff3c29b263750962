package engine

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
)

// exchange is one attempt at this engine. The life's mutex guards it.
type exchange struct {
	id           string
	endpoint     endpoint
	model        string
	prompt       uint64
	promptTokens int
	output       int
	phase        enginemodel.Phase
	salt         string

	started   bool
	written   int
	cached    int
	ended     bool // ran to its end
	cancelled bool
	endedAt   time.Duration
	// reader is the stream that is being sent; a newer one takes over.
	reader *reader
	// alone is since when nobody reads; meaningless while reader is set.
	alone time.Duration
}

// reader is one stream of an exchange.
type reader struct {
	// changed has room for one signal, which tells of any number of changes.
	changed chan struct{}
}

func newReader() *reader { return &reader{changed: make(chan struct{}, 1)} }

// signal wakes the exchange's reader.
func (x *exchange) signal() {
	if x.reader == nil {
		return
	}
	select {
	case x.reader.changed <- struct{}{}:
	default:
	}
}

func (x *exchange) over() bool { return x.ended || x.cancelled }
