package relay

import (
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

const (
	// runCopyTimeout bounds the KV transfer of a run that continues meanwhile.
	runCopyTimeout = time.Second
	// runStopTimeout bounds the KV transfer of a run that stops for it. An engine that is silent for 2 s still processes the
	// call, and a stopped run cannot continue without the answer.
	runStopTimeout = 5 * time.Second
)

// migratedRun says where a migrated run continues.
type migratedRun struct {
	target  *backEndSelection
	prefill *remotePrefill
}

// runMover migrates one run to another engine when its engine accepts no more work, so that the run neither delays the
// engine's change of stage nor ends with an engine that leaves. It is registered with the engine while the run produces
// events.
type runMover struct {
	stream *streamReply
	engine *backEnd

	mutex sync.Mutex
	// migrating is true while a migration is in progress, so that the run is not moved twice at once.
	migrating bool
	// stopping is true if the run has been asked to stop. outcome then receives where the run continues, nil for
	// nowhere.
	stopping   bool
	isFinished bool
	outcome    chan *migratedRun
}

// newRunMover registers a run with its engine. The caller must call finish when the run ends.
func newRunMover(stream *streamReply, engine *backEnd) *runMover {
	mover := &runMover{stream: stream, engine: engine, outcome: make(chan *migratedRun, 1)}
	engine.addMover(mover)
	return mover
}

// finish records that the run produces no more events. It returns where the run continues, nil when it was not migrated. It
// blocks while a migration is in progress.
func (m *runMover) finish() *migratedRun {
	if !m.end() {
		return nil
	}
	return <-m.outcome
}

// end records that the run produces no more events. It reports whether outcome will receive where the run continues.
func (m *runMover) end() bool {
	m.engine.removeMover(m)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.isFinished = true
	return m.stopping
}

// beginMigration begins a migration. It returns false while another one is in progress.
func (m *runMover) beginMigration() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.migrating {
		return false
	}
	m.migrating = true
	return true
}

// endMigration allows another migration, unless the run has been asked to stop: it then continues elsewhere.
func (m *runMover) endMigration() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.migrating = m.stopping
}

// beginStop begins the phase of the migration in which the run is paused. It returns false when the run has ended already.
func (m *runMover) beginStop() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stopping = !m.isFinished
	return m.stopping
}

// migrate copies the run's KV cache while the run continues, and then the remainder while the run is paused. A run whose KV
// cache cannot be copied stays at its engine.
func (m *runMover) migrate() {
	if target := m.stream.relay.pickForRun(m); target != nil {
		m.migrateTo(target)
	}
}

// migrateToFaster does what migrate does, if there is an engine at which the run keeps its gap target.
func (m *runMover) migrateToFaster() {
	target := m.stream.relay.pickForRun(m)
	if target == nil {
		return
	}
	if target.Pause != placement.PauseKept {
		m.stream.relay.placements.cancel(target.assignment)
		return
	}
	m.migrateTo(target)
}

// migrateTo migrates the run to a selected engine, unless another migration of it is in progress.
func (m *runMover) migrateTo(target *backEndSelection) {
	relay, request := m.stream.relay, m.stream.request
	if !m.beginMigration() {
		relay.placements.cancel(target.assignment)
		return
	}
	defer m.endMigration()
	target.backEnd.addWork(placement.Work{Streams: 1})
	defer target.backEnd.removeWork(placement.Work{Streams: 1})
	copied, handle := relay.exchanger.copyRun(m.engine, relay.dialect, request, target.backEnd.Address, false)
	if !copied {
		return
	}
	if !m.beginStop() {
		relay.release(&remotePrefill{engine: m.engine, handle: handle})
		return
	}
	copied, handle = relay.exchanger.copyRun(m.engine, relay.dialect, request, target.backEnd.Address, true)
	relay.log.recordMigration(request, m.engine, target.backEnd, copied)
	relay.metrics.migrations.WithLabelValues(strconv.FormatBool(copied)).Inc()
	m.outcome <- m.destination(target, copied, handle)
}

// destination returns where a paused run continues: at the engine that has the copy, or at its former engine when the
// remainder could not be copied. It returns nil when the former engine has returned no handle.
func (m *runMover) destination(target *backEndSelection, copied bool, handle string) *migratedRun {
	if handle == "" {
		return nil
	}
	if !copied {
		target = selectionFor(m.engine)
		target.mustResume = true
	}
	target.isMigrated = true
	return &migratedRun{target: target, prefill: &remotePrefill{engine: m.engine, handle: handle, prefixBlocks: m.stream.prefixBlocks}}
}

// pickForRun selects the engine that takes over a run; nil when none has a free slot.
func (r *Relay) pickForRun(mover *runMover) *backEndSelection {
	request, now := mover.stream.request, r.clock.now()
	attempts := &attemptTracker{relay: r, request: request, excluded: []*backEnd{mover.engine}}
	attempts.bind(mover.stream.attempts.binding())
	criteria := placement.Request{Now: now, Stage: answeringStage(request.service), Zone: mover.engine.Zone, Rank: mover.stream.rank()}
	if engine := request.service.Engine; engine != nil {
		criteria.Gap, criteria.Stride = request.route.TargetGap, engine.Stride
	}
	return r.decide(request, newEngineQuery(purposeTakeOver, attempts, criteria), mover.engine).selection
}

// copyRun makes an engine transfer the run of a request to the engine at an address. If stop is true, the run stops first;
// otherwise it continues meanwhile. copyRun reports whether the transfer succeeded, and returns the handle under which the
// run continues; an answer without a handle is no success.
func (e *exchanger) copyRun(engine *backEnd, dialect Dialect, request *request, address string, stop bool) (copied bool, handle string) {
	now := e.clock.now()
	if engine.inBackoff(now) || !e.acquirePermit(engine, internalCallRank, false) {
		return false, "" // the run stays at its engine
	}
	limit := runCopyTimeout
	if stop {
		limit = runStopTimeout
	}
	limit = min(limit, request.deadline-now)
	connection, err := e.open(engine, min(runCopyTimeout, limit))
	if err != nil {
		return false, ""
	}
	defer connection.Discard()
	_ = connection.SetDeadline(e.clock.at(now + limit))
	if e.writeInternalCall(connection, engine, fasthttp.MethodPost, dialect.MovePath, dialect.MoveBody(request.id, address, stop)) != nil {
		return false, ""
	}
	answer, err := readInternalAnswer(connection, fasthttp.MethodPost, maxPrefillAnswerBytes)
	if err != nil {
		return false, ""
	}
	status := answer.head.StatusCode()
	if status != fasthttp.StatusMisdirectedRequest {
		e.applyAnswerSignals(engine, answer.head, internalCallSentAt)
	}
	handle = dialect.ParseMoveAnswer(answer.body)
	return status == fasthttp.StatusOK && handle != "", handle
}
