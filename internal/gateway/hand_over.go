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
	// prefillShare is the share of the time left that a prefill engine may take, so that
	// a fall-back still has time when it stalls.
	prefillShare = 0.5
	// maximumHandleLength bounds a handle in bytes; the contract's have 32.
	maximumHandleLength = 128
)

// Outcomes of hand-overs, as the metrics name them.
const (
	handOverDone        = "done"
	handOverNotRead     = "prompt_not_read"
	handOverNotImported = "cache_not_imported"
	handOverRefused     = "decode_refused"
)

// errBadHandle tells that a prefill engine's answer names no usable cache.
var errBadHandle = errors.New("the prefill answer names no usable KV cache")

// exportedCache is a KV cache that a prefill engine keeps for a decode engine. It is
// bound to the tenant's cache salt; nil means that the engine reads the prompt itself.
type exportedCache struct {
	handle string
	source string
}

// readPrompt has the prompt read by the chosen prefill engine. Without a cache and without
// a refusal the request goes on without this hand-over.
func (c *completion) readPrompt(choice *routing.Choice) (*exportedCache, *refusal) {
	exchange := upstream.NewExchange()
	dispatcher := c.gateway.dispatcher
	dispatcher.observe(routing.Dispatch{
		BackEnd: choice.Prefill.Name, Exchange: exchange,
		PromptTokens: max(c.routing.PromptTokens-choice.CachedTokens, 0), PrefixBlocks: c.routing.PrefixBlocks,
		CachedAtHome: choice.CachedAtHome,
	})
	patience := time.Duration(prefillShare * float64(c.deadline-c.gateway.clock.now()))
	message := c.message(choice.Prefill.Address, exchange, c.gateway.clock.now()+patience)
	message.Headers = append(message.Headers, upstream.Header{Name: enginecontract.HeaderPrefillOnly, Value: "1"})
	answer, report, failure := c.gateway.upstream.Do(message)
	dispatcher.observeReport(choice.Prefill.Name, exchange, report)
	var read enginecontract.PrefillAnswer
	if failure == nil {
		read, failure = readPrefill(answer, exchange)
	}
	if failure != nil {
		return nil, c.promptNotRead(choice.Prefill, exchange, failure)
	}
	c.mayHaveRun, c.promptSent = true, true
	dispatcher.observe(routing.FirstToken{BackEnd: choice.Prefill.Name, Exchange: exchange})
	dispatcher.observe(routing.Completion{
		BackEnd: choice.Prefill.Name, Exchange: exchange, PromptTokens: read.PromptTokens, CachedTokens: read.CachedTokens,
	})
	return &exportedCache{handle: read.KVHandle, source: choice.Prefill.Address}, nil
}

// readPrefill reads a prefill engine's answer and checks that it belongs to the exchange.
func readPrefill(answer *upstream.Answer, exchange string) (enginecontract.PrefillAnswer, *upstream.Failure) {
	defer answer.Close()
	var read enginecontract.PrefillAnswer
	body, err := answer.ReadAll()
	if err == nil {
		err = json.Unmarshal(body, &read)
	}
	switch {
	case err != nil:
	case read.Exchange != exchange:
		err = upstream.ErrForeignAnswer
	case answer.Status != http.StatusOK || !usableHandle(read.KVHandle):
		err = errBadHandle
	}
	if err != nil {
		return read, &upstream.Failure{Verdict: verdict.MayHaveRun, Cause: trace.Wrap(err)}
	}
	return read, nil
}

// usableHandle reports whether a handle may be passed on in a header.
func usableHandle(handle string) bool {
	return handle != "" && len(handle) <= maximumHandleLength &&
		!strings.ContainsFunc(handle, func(character rune) bool { return character <= ' ' || character > '~' })
}

// promptNotRead decides after a prefill engine that brought no cache. Reading a prompt
// writes no output, but an engine that may be reading counts as may have run: then only a
// kind that may be repeated goes on.
func (c *completion) promptNotRead(prefill *routing.BackEnd, exchange string, failure *upstream.Failure) *refusal {
	c.gateway.log.Info().Err(failure).Str("back_end", prefill.Name).Msg("prompt not read for a hand-over")
	c.gateway.metrics.handOvers.WithLabelValues(handOverNotRead).Inc()
	c.excluded = append(c.excluded, prefill.Name)
	c.tried.note(failure)
	c.overloaded = c.overloaded || failure.Code == enginecontract.CodeOverloaded
	if failure.Status == 0 && failure.Verdict != verdict.NotRun && !c.interrupter.Interrupted() {
		c.noteBroken(*prefill, endWait)
	}
	if failure.Status != 0 || c.interrupter.Interrupted() {
		c.gateway.dispatcher.observe(routing.Completion{BackEnd: prefill.Name, Exchange: exchange})
	} else {
		c.gateway.dispatcher.observe(routing.Failure{BackEnd: prefill.Name, Exchange: exchange})
	}
	if failure.Code == enginecontract.CodeInvalidRequest {
		return c.refusal(refuseParameters())
	}
	if failure.Verdict == verdict.NotRun {
		return nil // another pair may do
	}
	c.mayHaveRun, c.promptSent, c.wholeOnly = true, true, true
	c.gateway.cancelLater(*prefill, exchange)
	if !c.target.kind.Spec.GetRepeatable() {
		return c.refusal(refuseBackEnd())
	}
	return nil
}

// noteImport counts how a hand-over ended at the decode engine, and leaves hand-overs
// alone for this request when the cache was lost.
func (c *completion) noteImport(failure *upstream.Failure) {
	outcome := handOverDone
	switch {
	case failure == nil:
	case failure.Code == enginecontract.CodeKVImportFailed || failure.Code == enginecontract.CodeKVForbidden:
		outcome = handOverNotImported
		c.wholeOnly = true
	default:
		outcome = handOverRefused
	}
	c.gateway.metrics.handOvers.WithLabelValues(outcome).Inc()
}
