package admission

import "time"

// prefillBacklog tracks the prompts of this gateway that await prefill at back ends: those of
// requests in flight without a first token.
type prefillBacklog struct {
	// pendingTokens counts prompt tokens by priority. A priority without pending tokens has no entry.
	pendingTokens map[int32]int64
	rate          serviceRate
}

func newPrefillBacklog() prefillBacklog { return prefillBacklog{pendingTokens: map[int32]int64{}} }

// add adds the prompt of a request that starts. Time without pending prompts is excluded from the rate.
func (b *prefillBacklog) add(now time.Duration, e *entry) {
	if len(b.pendingTokens) == 0 {
		b.rate.restart(now)
	}
	b.pendingTokens[e.Priority] += int64(max(e.PromptTokens, 1))
}

// remove removes the prompt of a request; prefilled is true if its first token arrived.
func (b *prefillBacklog) remove(now time.Duration, e *entry, prefilled bool) {
	tokens := int64(max(e.PromptTokens, 1))
	b.pendingTokens[e.Priority] -= tokens
	if b.pendingTokens[e.Priority] <= 0 {
		delete(b.pendingTokens, e.Priority)
	}
	if prefilled {
		b.rate.record(now, float64(tokens), len(b.pendingTokens) > 0)
	}
}

// wait returns how long back ends need at the recent prefill rate for the pending prompts of this
// priority and above. This is the expected time to first token of a request that starts now.
// It returns 0 while the rate is unknown.
func (b *prefillBacklog) wait(priority int32) time.Duration {
	if b.rate.perSecond == 0 {
		return 0
	}
	before := int64(0)
	for other, tokens := range b.pendingTokens {
		if other >= priority {
			before += tokens
		}
	}
	return time.Duration(float64(before) / b.rate.perSecond * float64(time.Second))
}
