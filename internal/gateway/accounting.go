package gateway

import (
	"time"

	"github.com/tidwall/gjson"

	"github.com/hazelpitch/hazelpitch/internal/admission"
)

// Optimistic speeds of an engine that does nothing else. They bound from below how long a
// request takes, so that admission gives up only on requests that no engine could finish
// in time, and counts as waiting only what goes beyond a slow prompt.
const (
	fastestTokenInterval      = 5 * time.Millisecond
	slowPromptTokensPerSecond = 8_000
)

// usage is what an engine counted for a request.
type usage struct {
	promptTokens int
	outputTokens int
	cachedTokens int
}

// readUsage reads the usage member of an engine's event.
func readUsage(raw []byte) usage {
	parsed := gjson.ParseBytes(raw)
	return usage{
		promptTokens: int(parsed.Get("prompt_tokens").Int()),
		outputTokens: int(parsed.Get("completion_tokens").Int()),
		cachedTokens: int(parsed.Get("prompt_tokens_details.cached_tokens").Int()),
	}
}

// admissionRequest returns what admission needs to know.
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

// tellFirstToken lets admission learn how long back ends take; retries say nothing of that.
func (c *completion) tellFirstToken() {
	if c.tried.total() != 1 {
		return
	}
	own := time.Duration(float64(c.routing.PromptTokens) / slowPromptTokensPerSecond * float64(time.Second))
	c.place.firstToken(max(c.firstTokenAt-c.beganAt-own, 0))
}

// settle gives the request's place in admission back with what was learned.
func (c *completion) settle() {
	result := admission.Result{
		PromptTokens:   c.usage.promptTokens,
		OutputTokens:   c.sequence.Delivered(),
		Overloaded:     c.overloaded,
		Failed:         !c.sequence.Finished(),
		DeadlineMissed: !c.sequence.Finished() && c.gateway.clock.now() >= c.deadline,
	}
	if c.mayHaveRun && result.PromptTokens == 0 {
		result.PromptTokens = c.routing.PromptTokens // the engine did not live to count them
	}
	c.place.finish(result)
}
