package upstream

import (
	"fmt"
	"net/http"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// Resume requests the part of an exchange's stream that follows offset tokens.
func (c *Client) Resume(address, exchange string, offset int, deadline time.Time, interrupter *Interrupter) (*Answer, Report, *Failure) {
	return c.Do(Request{
		Address:  address,
		Method:   http.MethodGet,
		Target:   fmt.Sprintf("%s%s?offset=%d", enginecontract.PathExchanges, exchange, offset),
		Exchange: exchange,
		Deadline: deadline,

		Interrupter: interrupter,
	})
}

// Cancel cancels an exchange at its engine. It returns NotRun only if the engine states that the exchange
// had not started and never will.
func (c *Client) Cancel(address, exchange string, deadline time.Time) verdict.Verdict {
	answer, _, failure := c.Do(Request{
		Address:  address,
		Method:   http.MethodDelete,
		Target:   enginecontract.PathExchanges + exchange,
		Exchange: exchange,
		Deadline: deadline,
	})
	if failure != nil {
		if failure.Status == http.StatusOK {
			return failure.Verdict
		}
		return verdict.MayHaveRun
	}
	answer.Close()
	return verdict.MayHaveRun
}
