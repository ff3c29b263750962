package admission

import "time"

// reading follows the prompts that back ends have to read for this gateway: those started
// without a first token.
type reading struct {
	// unread is in prompt tokens, by priority; a priority without any has no entry.
	unread map[int32]int64
	rate   serviceRate
}

func newReading() reading { return reading{unread: map[int32]int64{}} }

// started counts a prompt in. Time without any tells nothing of the rate.
func (r *reading) started(now time.Duration, e *entry) {
	if len(r.unread) == 0 {
		r.rate.restart(now)
	}
	r.unread[e.Priority] += int64(max(e.PromptTokens, 1))
}

// ended takes a prompt out; read tells that its first token came.
func (r *reading) ended(now time.Duration, e *entry, read bool) {
	tokens := int64(max(e.PromptTokens, 1))
	r.unread[e.Priority] -= tokens
	if r.unread[e.Priority] <= 0 {
		delete(r.unread, e.Priority)
	}
	if read {
		r.rate.finish(now, float64(tokens), len(r.unread) > 0)
	}
}

// wait is how long back ends need for what is unread, of this priority and above, at the
// rate at which they have lately read: what a request that starts now waits for its first
// token. 0 when nothing is known.
func (r *reading) wait(priority int32) time.Duration {
	if r.rate.perSecond == 0 {
		return 0
	}
	before := int64(0)
	for other, tokens := range r.unread {
		if other >= priority {
			before += tokens
		}
	}
	return time.Duration(float64(before) / r.rate.perSecond * float64(time.Second))
}
