package gateway

import (
	"net/http"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
	"github.com/hazelpitch/hazelpitch/internal/stream"
)

const (
	// maximumTextBytes bounds the text of an answer that is kept whole. It exceeds that of the longest answers of models.
	maximumTextBytes = 4 << 20
	// copiesOfText is how often the text is in memory: for the whole answer, to continue it elsewhere, and both twice while they grow.
	copiesOfText = 4
)

// keptText is the memory for the text of an answer that is kept.
type keptText struct {
	memory *bodybudget.Reservation
	// bytes is the length of the text, and reserved the length that the reservation covers.
	bytes, reserved int
}

// release gives back the memory.
func (t *keptText) release() {
	if t.memory != nil {
		t.memory.Release()
	}
}

// takeMemory returns the reservation, which the caller must release.
func (t *keptText) takeMemory() *bodybudget.Reservation {
	taken := t.memory
	t.memory = nil
	return taken
}

// grow reserves memory for a longer text.
func (t *keptText) grow(size int) error {
	t.bytes += size
	if t.bytes > maximumTextBytes {
		return trace.LimitExceeded("the text of the answer is longer than %d bytes", maximumTextBytes)
	}
	if t.bytes <= max(t.reserved, bodybudget.FreeBytes) {
		return nil
	}
	reserved := 2 * t.bytes
	if err := t.memory.Grow(copiesOfText * reserved); err != nil {
		return err
	}
	t.reserved = reserved
	return nil
}

// keepText reserves memory for a token whose text is kept. It returns a refusal if the engine goes on without end, or if other answers
// take the memory.
func (c *completion) keepText(event *stream.Event) *refusal {
	if event.Type != stream.EventToken || c.collected == nil && !c.target.kind.Spec.GetRepeatable() {
		return nil
	}
	err := c.text.grow(len(event.Text))
	if err == nil {
		return nil
	}
	c.cutStream(err)
	if trace.IsLimitExceeded(err) {
		c.abandonExchange()
		return c.refusal(refuseBackEnd())
	}
	return c.giveUp(refuse(http.StatusServiceUnavailable, typeServer, codeOverloaded, "long answers to other requests take this gateway's memory").after(overloadedRetry))
}
