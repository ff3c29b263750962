package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const (
	// prefillDeadlineShare is the share of the remaining time that a prefill engine may use, so that
	// a fallback still has time when it stalls.
	prefillDeadlineShare = 0.5
	// maximumHandleLength bounds the length of a handle in bytes; handles of the engine contract have 32 bytes.
	maximumHandleLength = 128
)

// Outcomes of KV transfers, as reported in the metrics.
const (
	kvTransferDone         = "done"
	kvTransferNotPrefilled = "prompt_not_read"
	kvTransferNotImported  = "cache_not_imported"
	kvTransferRefused      = "decode_refused"
)

// errBadHandle means that the answer of a prefill engine names no usable KV cache.
var errBadHandle = errors.New("the prefill answer names no usable KV cache")

// exportedCache identifies a KV cache that a prefill engine holds for a decode engine. It is
// bound to the tenant's cache salt. A nil *exportedCache means that the decode engine runs the prefill itself.
type exportedCache struct {
	handle string
	source string
}

// runPrefill runs the prefill on the chosen prefill engine and returns the exported KV cache. When it returns neither a
// cache nor a refusal, the prefill failed and the request continues without this KV transfer.
func (c *completion) runPrefill(choice *routing.Choice) (*exportedCache, *refusal) {
	exchange := upstream.NewExchange()
	dispatcher := c.gateway.dispatcher
	dispatcher.observe(routing.Dispatch{
		BackEnd: choice.Prefill.Name, Exchange: exchange,
		PromptTokens: max(c.routing.PromptTokens-choice.CachedTokens, 0), PrefixBlocks: c.routing.PrefixBlocks,
		CachedAtHome: choice.CachedAtHome,
	})
	prefillTimeout := time.Duration(prefillDeadlineShare * float64(c.deadline-c.gateway.clock.now()))
	message := c.message(choice.Prefill.Address, exchange, c.gateway.clock.now()+prefillTimeout)
	message.Headers = append(message.Headers, upstream.Header{Name: enginecontract.HeaderPrefillOnly, Value: "1"})
	answer, report, failure := c.gateway.upstream.Do(message)
	dispatcher.observeReport(choice.Prefill.Name, exchange, report)
	var answerBody enginecontract.PrefillAnswer
	if failure == nil {
		answerBody, failure = readPrefillAnswer(answer, exchange)
	}
	if failure != nil {
		return nil, c.handlePrefillFailure(choice.Prefill, exchange, failure)
	}
	c.mayHaveRun, c.mayHavePrefilled = true, true
	dispatcher.observe(routing.FirstToken{BackEnd: choice.Prefill.Name, Exchange: exchange})
	dispatcher.observe(routing.Completion{
		BackEnd: choice.Prefill.Name, Exchange: exchange, PromptTokens: answerBody.PromptTokens, CachedTokens: answerBody.CachedTokens,
	})
	return &exportedCache{handle: answerBody.KVHandle, source: choice.Prefill.Address}, nil
}

// readPrefillAnswer reads the answer of a prefill engine and checks that it belongs to the exchange.
func readPrefillAnswer(answer *upstream.Answer, exchange string) (enginecontract.PrefillAnswer, *upstream.Failure) {
	defer answer.Close()
	var answerBody enginecontract.PrefillAnswer
	body, err := answer.ReadAll()
	if err == nil {
		err = json.Unmarshal(body, &answerBody)
	}
	switch {
	case err != nil:
	case answerBody.Exchange != exchange:
		err = upstream.ErrForeignAnswer
	case answer.Status != http.StatusOK || !isUsableHandle(answerBody.KVHandle):
		err = errBadHandle
	}
	if err != nil {
		return answerBody, &upstream.Failure{Verdict: verdict.MayHaveRun, Cause: trace.Wrap(err)}
	}
	return answerBody, nil
}

// isUsableHandle reports whether a handle may be passed on in a header: it is not empty, not too long and consists of
// printable ASCII characters without blanks.
func isUsableHandle(handle string) bool {
	return handle != "" && len(handle) <= maximumHandleLength &&
		!strings.ContainsFunc(handle, func(character rune) bool { return character <= ' ' || character > '~' })
}

// handlePrefillFailure decides how the request continues after a prefill engine returned no cache. A prefill
// produces no output, but a request whose prefill may be running counts as one that may have run: then the request
// continues only if its kind is repeatable.
func (c *completion) handlePrefillFailure(prefill *routing.BackEnd, exchange string, failure *upstream.Failure) *refusal {
	c.gateway.failureLine(prefill.Name, failure).Msg("prefill failed; the request continues without this KV transfer if its kind allows it")
	c.gateway.metrics.kvTransfers.WithLabelValues(kvTransferNotPrefilled).Inc()
	c.excluded = append(c.excluded, prefill.Name)
	c.attempts.recordFailure(failure)
	c.overloaded = c.overloaded || failure.Code == enginecontract.CodeOverloaded
	if failure.Status == 0 && failure.Verdict != verdict.NotRun && !c.interrupter.Interrupted() {
		c.reportBrokenRun(*prefill, crashWait)
	}
	if c.interrupter.Interrupted() {
		c.gateway.dispatcher.observe(routing.Completion{BackEnd: prefill.Name, Exchange: exchange})
	} else {
		c.gateway.observeFailure(prefill.Name, exchange, failure)
	}
	if failure.Code == enginecontract.CodeInvalidRequest {
		return c.refusal(refuseParameters())
	}
	if failure.Verdict == verdict.NotRun {
		return nil // another pair of engines may succeed
	}
	c.mayHaveRun, c.mayHavePrefilled, c.wholeOnly = true, true, true
	c.gateway.cancelLater(*prefill, exchange)
	if !c.target.kind.Spec.GetRepeatable() {
		return c.refusal(refuseBackEnd())
	}
	return nil
}

// recordKVTransfer counts the outcome of a KV transfer at the decode engine. After a failed import
// the request uses no further KV transfer.
func (c *completion) recordKVTransfer(failure *upstream.Failure) {
	outcome := kvTransferDone
	switch {
	case failure == nil:
	case failure.Code == enginecontract.CodeKVImportFailed || failure.Code == enginecontract.CodeKVForbidden:
		outcome = kvTransferNotImported
		c.wholeOnly = true
	default:
		outcome = kvTransferRefused
	}
	c.gateway.metrics.kvTransfers.WithLabelValues(outcome).Inc()
}
