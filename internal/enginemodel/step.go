package enginemodel

import "time"

// run moves time to now, one step of the batch after the other.
func (e *Engine) run(now time.Duration) {
	for {
		if e.stepping {
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

// startStep admits what fits and begins a step if there is anything to do.
func (e *Engine) startStep() {
	e.admit()
	e.finishImports()
	budget := e.profile.PrefillChunk[e.role]
	e.stepReads = e.stepReads[:0]
	readTokens := 0
	for _, reader := range e.reading {
		tokens := min(reader.unread, budget-readTokens)
		if tokens <= 0 {
			break
		}
		e.stepReads = append(e.stepReads, read{reader, tokens})
		readTokens += tokens
	}
	e.stepWriters = len(e.writing)
	if readTokens == 0 && e.stepWriters == 0 {
		e.stepping = false
		return
	}
	var context int64
	for _, writer := range e.writing {
		context += writer.context()
	}
	e.stepping = true
	e.stepEnd = e.now + e.profile.DecodeStep(e.stepWriters, context) + e.profile.PrefillTime(readTokens)
}

// admit moves waiting sequences into the batch while there is room, in order.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.byID)-len(e.waiting) < e.profile.MaxBatch {
		next := e.waiting[0]
		if e.memoryUsed+next.memory() > e.profile.KVCapacityTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.memoryUsed += next.memory()
		if e.tokenEvents {
			e.tell(next, EventStarted)
		}
		if next.Phase == PhaseDecodeImported {
			e.linkFree = max(e.linkFree, e.now) + e.profile.TransferTime(next.PromptTokens)
			next.importedAt = e.linkFree
			e.importing = append(e.importing, next)
			continue
		}
		next.cached = min(e.cache.match(next.PrefixBlocks)*e.profile.BlockTokens, next.PromptTokens-1)
		next.unread = next.PromptTokens - next.cached + next.AlreadyDelivered
		e.reading = append(e.reading, next)
	}
}

// finishImports moves whole imports to the writers. Imports end in order.
func (e *Engine) finishImports() {
	for len(e.importing) > 0 && e.importing[0].importedAt <= e.now {
		e.writing = append(e.writing, e.importing[0])
		e.importing = e.importing[1:]
	}
}

func (e *Engine) nextImport() (time.Duration, bool) {
	if len(e.importing) == 0 {
		return 0, false
	}
	return e.importing[0].importedAt, true
}

// finishStep gives each writer of the step its token and moves the readers on.
func (e *Engine) finishStep() {
	remaining := e.writing[:0]
	for index, writer := range e.writing {
		if index < e.stepWriters {
			e.write(writer)
		}
		if writer.left() > 0 {
			remaining = append(remaining, writer)
		}
	}
	clear(e.writing[len(remaining):])
	e.writing = remaining
	for _, part := range e.stepReads {
		if part.sequence != nil {
			e.finishRead(part)
		}
	}
}

// write adds one token to a sequence and ends it after its last.
func (e *Engine) write(writer *sequence) {
	writer.written++
	e.totals.OutputTokensDone++
	switch {
	case !writer.wroteHere:
		writer.wroteHere = true
		e.tell(writer, EventFirstToken)
	case e.tokenEvents:
		e.tell(writer, EventToken)
	}
	if writer.left() == 0 {
		e.release(writer)
		e.tell(writer, EventDone)
	}
}

// finishRead counts the tokens read; the end of a prompt gives the first token.
func (e *Engine) finishRead(part read) {
	reader := part.sequence
	reader.unread -= part.tokens
	e.totals.PromptTokensDone += int64(part.tokens)
	if reader.unread > 0 {
		return
	}
	e.totals.CachedTokensDone += int64(reader.cached)
	e.reading, _ = without(e.reading, reader)
	e.cache.store(reader.PrefixBlocks)
	if reader.Phase == PhasePrefillOnly {
		e.release(reader)
		e.tell(reader, EventPrefillDone)
		return
	}
	e.write(reader)
	if reader.left() > 0 {
		e.writing = append(e.writing, reader)
	}
}

func (e *Engine) release(ended *sequence) {
	e.memoryUsed -= ended.memory()
	delete(e.byID, ended.ID)
}

func (e *Engine) tell(about *sequence, what EventType) {
	e.events = append(e.events, Event{
		At: e.now, Type: what, ID: about.ID, OutputTokens: about.written, CachedTokens: about.cached,
	})
}
