package relay

// makeRun makes the next run of the stream: where the former run was moved to, at the replacement of a silent engine, or at an engine
// that is selected now. next is where the stream begins; its first run consumes it.
func (s *streamReply) makeRun(next *streamStart) attemptResult {
	if migrated := s.migrated; migrated != nil {
		s.attempts.cancelReplacement() // the run has stopped, and can continue only where it was moved to
		s.migrated = nil
		return s.makeRunAt(migrated.target, migrated.prefill)
	}
	if replacing := s.attempts.takeReplacement(); replacing != nil && replacing.await() {
		fault := s.runReplacement(replacing)
		return attemptResult{backEnd: replacing.selection.backEnd, fault: fault, isAnswered: fault == nil}
	}
	if s.relay.path.pathTo(s.request.service.Name).IsLost && s.relay.forwardToPeers(s.attempts, s.reply, s.position.lastID()) {
		return attemptResult{isAnswered: true}
	}
	if s.relay.isOutOfReach(s.attempts) || !s.attempts.mayContinue() {
		return attemptResult{}
	}
	selection := next.direct
	if selection == nil {
		selection = s.relay.nextDecodeEngine(s, next.prefill)
	}
	if selection == nil {
		return attemptResult{}
	}
	prefill := next.prefill
	next.direct, next.prefill = nil, nil // a handle can be used only once
	return s.makeRunAt(selection, prefill)
}

// makeRunAt makes a run at a selected engine.
func (s *streamReply) makeRunAt(selection *backEndSelection, prefill *remotePrefill) attemptResult {
	s.recordContinuation(selection)
	fault := s.runOn(selection, prefill)
	return attemptResult{backEnd: selection.backEnd, fault: fault, isAnswered: fault == nil}
}
