package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/stream"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
)

// message builds the request of one exchange with the given deadline.
func (c *completion) message(address, exchange string, deadline time.Duration) upstream.Request {
	headers := []upstream.Header{
		{Name: "Content-Type", Value: "application/json"},
		{Name: enginecontract.HeaderPriority, Value: strconv.Itoa(int(c.target.kind.Spec.GetPriority()))},
		{Name: enginecontract.HeaderCacheSalt, Value: c.cacheSalt()},
		deadlineHeader(deadline - c.gateway.clock.now()),
	}
	continueText := ""
	if delivered := c.sequence.Delivered(); delivered > 0 {
		continueText = c.sequence.Text()
		headers = append(headers, upstream.Header{Name: enginecontract.HeaderContinueFrom, Value: strconv.Itoa(delivered)})
	}
	return upstream.Request{
		Address:     address,
		Method:      http.MethodPost,
		Target:      c.request.path(),
		Headers:     headers,
		Body:        c.request.engineBody(c.target.name, continueText),
		Exchange:    exchange,
		Deadline:    c.gateway.clock.time(deadline),
		Interrupter: c.interrupter,
	}
}

// cacheSalt returns the salt that separates the tenant's cached prompts and exported caches from those of other tenants.
func (c *completion) cacheSalt() string {
	if !c.gateway.safeguards.IsEnabled(SaltPerTenant) {
		return ""
	}
	return c.tenant.Spec.GetCacheSalt()
}

func (c *completion) startReading(answer *upstream.Answer) {
	c.answer, c.readDeadline = answer, 0
	c.scanner = stream.NewScanner(answer, answer.Memory())
}
