package enginemodel

import "time"

// advance moves time to now, step by step.
func (e *Engine) advance(now time.Duration) {
	for {
		if e.inStep {
			if e.stepEnd > now {
				break
			}
			e.now = e.stepEnd
			e.finishStep()
			e.startStep()
			continue
		}
		ready, found := e.nextImport()
		if !found || ready > now {
			break
		}
		e.now = max(e.now, ready)
		e.startStep()
	}
	e.now = max(e.now, now)
}

// startStep admits waiting sequences that fit and starts a step if there is work to do.
func (e *Engine) startStep() {
	e.admit()
	e.finishImports()
	budget := e.profile.PrefillChunk[e.role]
	e.stepPrefills = e.stepPrefills[:0]
	prefillTokens := 0
	for _, next := range e.prefilling {
		tokens := min(next.prefillLeft, budget-prefillTokens)
		if tokens <= 0 {
			break
		}
		e.stepPrefills = append(e.stepPrefills, prefillChunk{next, tokens})
		prefillTokens += tokens
	}
	e.stepDecodes = len(e.decoding)
	if prefillTokens == 0 && e.stepDecodes == 0 {
		e.inStep = false
		return
	}
	var contextTokens int64
	for _, each := range e.decoding {
		contextTokens += each.contextTokens()
	}
	e.inStep = true
	e.stepEnd = e.now + e.profile.DecodeStep(e.stepDecodes, contextTokens) + e.profile.PrefillTime(prefillTokens)
}

// admit moves waiting sequences into the batch, in order, while there is room.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.byID)-len(e.waiting) < e.profile.MaxBatch {
		next := e.waiting[0]
		if e.kvTokensUsed+next.kvTokens() > e.profile.KVCapacityTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.kvTokensUsed += next.kvTokens()
		if e.tokenEvents {
			e.addEvent(next, EventStarted)
		}
		if next.Phase == PhaseDecodeImported {
			e.linkFreeAt = max(e.linkFreeAt, e.now) + e.profile.TransferTime(next.PromptTokens)
			next.importedAt = e.linkFreeAt
			e.importing = append(e.importing, next)
			continue
		}
		next.cachedTokens = min(e.cache.match(next.PrefixBlocks)*e.profile.BlockTokens, next.PromptTokens-1)
		next.prefillLeft = next.PromptTokens - next.cachedTokens + next.AlreadyDelivered
		e.prefilling = append(e.prefilling, next)
	}
}

// finishImports moves sequences with a complete import to decoding. Imports finish in order.
func (e *Engine) finishImports() {
	for len(e.importing) > 0 && e.importing[0].importedAt <= e.now {
		e.decoding = append(e.decoding, e.importing[0])
		e.importing = e.importing[1:]
	}
}

func (e *Engine) nextImport() (time.Duration, bool) {
	if len(e.importing) == 0 {
		return 0, false
	}
	return e.importing[0].importedAt, true
}

// finishStep adds one token to each decoding sequence of the step and advances the prefills.
func (e *Engine) finishStep() {
	remaining := e.decoding[:0]
	for index, running := range e.decoding {
		if index < e.stepDecodes {
			e.emitToken(running)
		}
		if running.outputLeft() > 0 {
			remaining = append(remaining, running)
		}
	}
	clear(e.decoding[len(remaining):])
	e.decoding = remaining
	for _, chunk := range e.stepPrefills {
		if chunk.sequence != nil {
			e.finishPrefill(chunk)
		}
	}
}

// emitToken adds one token to a sequence and ends the sequence after its last token.
func (e *Engine) emitToken(running *sequence) {
	running.generatedTokens++
	e.totals.OutputTokensDone++
	switch {
	case !running.hasDecoded:
		running.hasDecoded = true
		e.addEvent(running, EventFirstToken)
	case e.tokenEvents:
		e.addEvent(running, EventToken)
	}
	if running.outputLeft() == 0 {
		e.release(running)
		e.addEvent(running, EventDone)
	}
}

// finishPrefill counts the tokens of a prefill chunk. The end of a prefill yields the first token, or ends a sequence of
// PhasePrefillOnly.
func (e *Engine) finishPrefill(chunk prefillChunk) {
	prefilled := chunk.sequence
	prefilled.prefillLeft -= chunk.tokens
	e.totals.PromptTokensDone += int64(chunk.tokens)
	if prefilled.prefillLeft > 0 {
		return
	}
	e.totals.CachedTokensDone += int64(prefilled.cachedTokens)
	e.prefilling, _ = removeSequence(e.prefilling, prefilled)
	e.cache.store(prefilled.PrefixBlocks)
	if prefilled.Phase == PhasePrefillOnly {
		e.release(prefilled)
		e.addEvent(prefilled, EventPrefillDone)
		return
	}
	e.emitToken(prefilled)
	if prefilled.outputLeft() > 0 {
		e.decoding = append(e.decoding, prefilled)
	}
}

func (e *Engine) release(ended *sequence) {
	e.kvTokensUsed -= ended.kvTokens()
	delete(e.byID, ended.ID)
}

func (e *Engine) addEvent(subject *sequence, eventType EventType) {
	e.events = append(e.events, Event{
		At: e.now, Type: eventType, ID: subject.ID, OutputTokens: subject.generatedTokens, CachedTokens: subject.cachedTokens,
	})
}
