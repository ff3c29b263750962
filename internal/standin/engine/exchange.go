package engine

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
)

// exchange is one attempt of a request at this engine. The process's mutex guards it.
type exchange struct {
	id           string
	endpoint     endpoint
	model        string
	prompt       uint64
	promptTokens int
	outputTokens int
	phase        enginemodel.Phase
	salt         string

	started       bool
	decodedTokens int
	cachedTokens  int
	finished      bool // ran to completion
	cancelled     bool
	endedAt       time.Duration
	// reader is the stream that is being sent; a newer one replaces it.
	reader *reader
	// unreadSince is when the last reader detached; meaningless while reader is set.
	unreadSince time.Duration
}

// reader is one stream of an exchange.
type reader struct {
	// changed wakes the stream after changes of the exchange. It holds one signal, which covers any number of changes.
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

func (x *exchange) isOver() bool { return x.finished || x.cancelled }
