package gateway

import (
	"time"

	"github.com/tidwall/gjson"

	"github.com/hazelpitch/hazelpitch/internal/admission"
)

// Speeds of an otherwise idle engine. fastestTokenInterval is optimistic and gives a lower bound of a request's
// duration, so that admission refuses only requests that no engine could finish in time.
// slowPromptTokensPerSecond is the prefill speed for a slow prompt: only the part of the time to the first token that
// exceeds such a prefill counts as waiting.
const (
	fastestTokenInterval      = 5 * time.Millisecond
	slowPromptTokensPerSecond = 8_000
)

// usage holds the token counts that an engine reports for a request.
type usage struct {
	promptTokens int
	outputTokens int
	cachedTokens int
}

// readUsage parses the usage member of an engine's event.
func readUsage(raw []byte) usage {
	parsed := gjson.ParseBytes(raw)
	return usage{
		promptTokens: int(parsed.Get("prompt_tokens").Int()),
		outputTokens: int(parsed.Get("completion_tokens").Int()),
		cachedTokens: int(parsed.Get("prompt_tokens_details.cached_tokens").Int()),
	}
}

// admissionRequest returns the input of the admission decision.
func (c *completion) admissionRequest() admissionRequest {
	prompt, output := c.routing.PromptTokens, c.routing.OutputTokens
	return admissionRequest{
		service: c.target.kind.Spec.GetService(),
		shape:   c.shape,
		limit:   tenantLimit(c.tenant),
		request: admission.Request{
			Tenant:       c.tenant.Name,
			Class:        c.target.kind.Name,
			Priority:     c.target.kind.Spec.GetPriority(),
			Weight:       c.tenant.Spec.GetWeight(),
			Worth:        c.target.kind.Spec.GetWorth(),
			PromptTokens: prompt,
			OutputTokens: output,
			Bytes:        int64(len(c.request.members) + len(c.request.prompt)),
			Deadline:     c.deadline,
			MinimumTime:  time.Duration(output) * fastestTokenInterval,
		},
	}
}

// recordFirstToken reports the time to the first token of the request to admission. It leaves out a request with more
// than one exchange, whose time does not show how long a single back end takes.
func (c *completion) recordFirstToken() {
	if c.attempts.total() != 1 {
		return
	}
	promptTime := time.Duration(float64(c.routing.PromptTokens) / slowPromptTokensPerSecond * float64(time.Second))
	c.slot.recordFirstToken(max(c.firstTokenAt-c.beganAt-promptTime, 0))
}

// finishAdmission returns the request's admission slot and reports the result of the request to admission.
func (c *completion) finishAdmission() {
	result := admission.Result{
		PromptTokens:   c.usage.promptTokens,
		OutputTokens:   c.sequence.Delivered(),
		Overloaded:     c.overloaded,
		Failed:         !c.sequence.Finished(),
		DeadlineMissed: !c.sequence.Finished() && c.gateway.clock.now() >= c.deadline,
	}
	if c.mayHaveRun && result.PromptTokens == 0 {
		result.PromptTokens = c.routing.PromptTokens // the engine failed before it reported its count
	}
	c.slot.finish(result)
}
