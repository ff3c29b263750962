package slots

import "github.com/hazelpitch/hazelpitch/internal/slotqueue"

// addressedDecision is a decision for the relay with the address to.
type addressedDecision struct {
	decision slotqueue.Decision
	to       string
}
