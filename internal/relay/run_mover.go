package relay

import (
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// runCopyTimeout bounds the copying of one run.
const runCopyTimeout = time.Second

// migratedRun says where a run goes on that was moved from its engine.
type migratedRun struct {
	target  *selection
	prefill *remotePrefill
}

// runMover moves one run to another engine when its own takes no more work: its streams need not
// hold up the engine's change of stage, nor end with an engine that leaves. It is registered with
// the engine while events of the run come.
type runMover struct {
	stream *streamReply
	engine *backEnd

	mutex sync.Mutex
	// stopping tells that the run has been asked to stop, outcome then gets where it goes on,
	// nil for nowhere.
	stopping   bool
	isFinished bool
	outcome    chan *migratedRun
}

// newRunMover registers a run with its engine. Its end must be told.
func newRunMover(stream *streamReply, engine *backEnd) *runMover {
	mover := &runMover{stream: stream, engine: engine, outcome: make(chan *migratedRun, 1)}
	engine.addMover(mover)
	return mover
}

// finish notes that no more events of the run come. It returns where the run goes on; nil when it
// was not moved.
func (m *runMover) finish() *migratedRun {
	m.engine.removeMover(m)
	m.mutex.Lock()
	m.isFinished = true
	stopping := m.stopping
	m.mutex.Unlock()
	if !stopping {
		return nil
	}
	return <-m.outcome
}

// beginStop begins the part of the move in which the run stands still; it reports false when there is
// nothing to move any more.
func (m *runMover) beginStop() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stopping = !m.isFinished
	return m.stopping
}

// migrate copies the run's memory while the run goes on, and then what is new, while it stands
// still. A run whose memory could not be copied stays where it is.
func (m *runMover) migrate() {
	relay, request := m.stream.relay, m.stream.request
	target := relay.pickForRun(m)
	if target == nil {
		return
	}
	target.backEnd.addWork(placement.Work{Streams: 1})
	defer target.backEnd.removeWork(placement.Work{Streams: 1})
	copied, handle := relay.exchanger.copyRun(m.engine, relay.dialect, request.id, target.backEnd.Address, false)
	if !copied {
		return
	}
	if !m.beginStop() {
		relay.release(&remotePrefill{engine: m.engine, handle: handle})
		return
	}
	copied, handle = relay.exchanger.copyRun(m.engine, relay.dialect, request.id, target.backEnd.Address, true)
	relay.log.recordMigration(request, m.engine, target.backEnd, copied)
	relay.metrics.migrations.WithLabelValues(strconv.FormatBool(copied)).Inc()
	m.outcome <- m.destination(target, copied, handle)
}

// destination is where a run that has stopped goes on: at the engine that has its copy, or where
// it was when the rest could not be copied.
func (m *runMover) destination(target *selection, copied bool, handle string) *migratedRun {
	if handle == "" {
		return nil
	}
	if !copied {
		target = selectionFor(m.engine)
		target.isOwed = true
	}
	return &migratedRun{target: target, prefill: &remotePrefill{engine: m.engine, handle: handle, prefixBlocks: m.stream.prefixBlocks}}
}

// pickForRun picks the engine that takes over a run; nil when none has a slot for it.
func (r *Relay) pickForRun(mover *runMover) *selection {
	request, now := mover.stream.request, r.clock.now()
	attempts := &attemptTracker{relay: r, request: request, excluded: []*backEnd{mover.engine}}
	wanted := placement.Request{Now: now, Stage: answeringStage(request.service), Zone: mover.engine.Zone, Rank: mover.stream.rank()}
	return r.decide(request, newEngineQuery(purposeTakeOver, attempts, wanted), mover.engine).chosen
}

// copyRun has an engine copy a run to the engine at an address. It reports whether it did, and
// the handle under which the run goes on.
func (e *exchanger) copyRun(engine *backEnd, dialect Dialect, request, address string, stop bool) (copied bool, handle string) {
	now := e.clock.now()
	if engine.inBackoff(now) || !e.acquirePermit(engine, internalCallRank, false) {
		return false, "" // the run stays where it is
	}
	connection, err := e.open(engine, runCopyTimeout)
	if err != nil {
		return false, ""
	}
	defer connection.Discard()
	_ = connection.SetDeadline(e.clock.at(now + runCopyTimeout))
	if e.writeInternalCall(connection, engine, fasthttp.MethodPost, dialect.MovePath, dialect.MoveBody(request, address, stop)) != nil {
		return false, ""
	}
	answer := fasthttp.Response{}
	if err := answer.ReadLimitBody(connection.Reader, maxPrefillAnswerBytes); err != nil {
		return false, ""
	}
	if answer.StatusCode() != fasthttp.StatusMisdirectedRequest {
		e.applyAnswerSignals(engine, &answer.Header, internalCallSentAt)
	}
	return answer.StatusCode() == fasthttp.StatusOK, dialect.ParseMoveAnswer(answer.Body())
}
