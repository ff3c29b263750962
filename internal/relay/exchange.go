package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
	"github.com/hazelpitch/hazelpitch/internal/crashguard"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/http1/answerhead"
	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/http1/grammar"
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/relay/connpool"
	"github.com/hazelpitch/hazelpitch/internal/relay/speeds"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const (
	// dialTimeout bounds the opening of a connection to a back end.
	dialTimeout = 300 * time.Millisecond
	// migratedDialTimeout bounds the attempts to open a connection to the back end at which a migrated run continues, which
	// are migratedDialInterval apart. Sound back ends are silent for up to 2 s.
	migratedDialTimeout  = 3 * time.Second
	migratedDialInterval = 20 * time.Millisecond
	// maxStaleAnswers bounds how many answers to earlier requests are skipped on a connection.
	maxStaleAnswers = 2
	// maxStaleBodyBytes bounds the body of a skipped answer.
	maxStaleBodyBytes = 1 << 20
	// longBodyBytes is the size from which a request's body is written concurrently with reading the answer, since a back
	// end may answer before it has read the body.
	longBodyBytes = 8 << 10
	// unsafeIdleLimit is how long a connection may have been idle before it carries a request that must not be repeated:
	// the back end might close an idle connection at the moment at which the request is sent.
	unsafeIdleLimit = time.Second
)

// exchanger sends messages to back ends and reads the heads of their answers.
type exchanger struct {
	names   HeaderNames
	writer  requestWriter
	clock   clock
	dial    dialing.Dial
	notices *loadNotices
	// speeds holds the estimates of engines' speeds.
	speeds *speeds.Speeds
	guard  *crashguard.Guard
	// applyAnswerSignals applies the signals in the head of a back end's answer.
	applyAnswerSignals func(backEnd *backEnd, head *fasthttp.ResponseHeader, sentAt time.Duration)
	// acquirePermit reports whether a request of the given rank may be sent to a back end, which may have a limit.
	acquirePermit func(backEnd *backEnd, rank int, mustResume bool) bool
	// mayStillSend reports whether there is time to send a message before this relay stops.
	mayStillSend func() bool
	// limitedSends counts messages sent to back ends with a limit.
	limitedSends prometheus.Counter
	// path records the outcomes of attempts to connect to back ends.
	path *pathWatch
	// dials counts attempts to open connections to back ends, by outcome.
	dials *prometheus.CounterVec
	// answers counts the answers of back ends to clients' requests, by framing and end.
	answers *prometheus.CounterVec
	// reportPath is the path of an engine's report, which parseReport decodes.
	reportPath  string
	parseReport func(body []byte) (startedAtMs int64, err error)
	// mechanisms says which mechanisms are enabled.
	mechanisms mechanism.Set
	// answerMemory is the memory for long answers and long events of back ends.
	answerMemory *bodybudget.Budget
}

// send sends the message and reads the head of the answer. The caller must finish or discard the answer.
func (e *exchanger) send(message *message) (*answer, *failure) {
	backoffLeft := message.backEnd.avoidanceLeft(e.clock.now())
	message.backEnd.addWork(message.work)
	if message.onWorkAdded != nil {
		message.onWorkAdded()
	}
	e.recordPrefill(message)
	answer, fault := e.exchange(message)
	if fault == nil {
		return answer, nil
	}
	fault.backoffLeft, fault.observation = backoffLeft, e.observe(message)
	message.backEnd.removeWork(message.work)
	e.announceWork(message)
	e.recordAbandonedPrefill(message)
	e.updateHealth(message, fault)
	return nil, fault
}

// exchange connects, writes the message, and reads and checks the head of the answer.
func (e *exchanger) exchange(message *message) (*answer, *failure) {
	connection, fault := e.connectVerified(message)
	if fault != nil {
		return nil, fault
	}
	answer, fault := e.exchangeOn(connection, message)
	if fault != nil {
		message.canceller().detach()
		connection.Discard()
		return nil, fault
	}
	if fault := e.checkAnswer(answer); fault != nil {
		answer.discard() // returns the connection to the pool, or closes it
		return nil, fault
	}
	if answer.status < fasthttp.StatusInternalServerError && !message.keepsRequest() {
		message.canceller().detach()
		connection.Discard()
		return nil, e.replacedFailure(message)
	}
	return answer, nil
}

// checkAdmission returns the reason why a message must not be sent now; nil when it may be sent.
func (e *exchanger) checkAdmission(message *message) *failure {
	notRun := func(cause error) *failure { return &failure{verdict: verdict.NotRun, cause: cause} }
	now := e.clock.now()
	switch {
	case message.canceller().isCancelled():
		return notRun(errCancelled)
	case now >= message.deadline:
		return notRun(errDeadline)
	case !e.mayStillSend() && !message.isMigrated():
		return notRun(errStopping)
	case e.isQuarantined(message): // the quarantine began while the request waited
		return notRun(errQuarantined)
	case message.backEnd.inBackoff(now): // the backoff began after the back end was selected
		return notRun(errInBackoff)
	case !message.backEnd.hasLimit():
		return nil
	case !message.usePermit(now) && !e.acquirePermit(message.backEnd, message.request.rank.First, message.mustResume()):
		return notRun(errLimitReached)
	default:
		e.limitedSends.Inc()
		return nil
	}
}

// isQuarantined reports whether a message must not be sent to any back end. A run that continues after its migration has begun to
// answer, and another relay decides for itself.
func (e *exchanger) isQuarantined(message *message) bool {
	return !message.backEnd.isRelay && !message.isMigrated() && !message.request.isTrial && e.guard.IsQuarantined(message.request.content)
}

// connect returns a connection to the back end and attaches it to the request's canceller.
func (e *exchanger) connect(message *message) (*connpool.Connection, *failure) {
	if fault := e.checkAdmission(message); fault != nil {
		return nil, fault
	}
	now := e.clock.now()
	message.sentAt = now
	connection := message.backEnd.pool.Get(now, idleLimitOf(message.request.route))
	message.hasNewConnection = connection == nil
	if message.hasNewConnection {
		var err error
		if connection, err = e.openFor(message, now); err != nil {
			return nil, &failure{verdict: verdict.NotRun, cause: fmt.Errorf("%w: %w", errDial, err)}
		}
	}
	_ = connection.SetDeadline(e.clock.at(message.deadline)) // a closed connection needs no deadline
	if !message.canceller().attach(connection, message.deadline) {
		connection.Discard()
		return nil, &failure{verdict: verdict.NotRun, cause: errCancelled}
	}
	return connection, nil
}

// openFor opens a connection for a message. For a run that was migrated it keeps trying for longer: the run has stopped, and can
// continue only at that back end, which may be silent for a moment.
func (e *exchanger) openFor(message *message, now time.Duration) (*connpool.Connection, error) {
	connection, err := e.open(message.backEnd, min(dialTimeout, message.deadline-now))
	if err == nil || !message.isMigrated() {
		return connection, err
	}
	until := min(now+migratedDialTimeout, message.deadline)
	for now = e.clock.now(); err != nil && now < until && !message.canceller().isCancelled(); now = e.clock.now() {
		time.Sleep(min(migratedDialInterval, until-now)) // a refused connection fails at once
		connection, err = e.open(message.backEnd, min(dialTimeout, message.deadline-now))
	}
	return connection, err
}

// idleLimitOf returns how long a connection may have been idle before it carries a request of the route.
func idleLimitOf(route *serving.Route) time.Duration {
	if route.Repeatable() {
		return connpool.DefaultIdleLimit
	}
	return unsafeIdleLimit
}

// open opens a connection to a back end within the given time. It records the outcome as evidence of the path to the back
// end's service.
func (e *exchanger) open(backEnd *backEnd, limit time.Duration) (*connpool.Connection, error) {
	if backEnd.isRelay {
		return e.connectWithin(backEnd, limit)
	}
	slow := time.AfterFunc(pathCheckDelay, func() { e.path.check(backEnd) })
	connection, mustCheck, err := e.openWithoutCheck(backEnd, limit)
	slow.Stop()
	if mustCheck {
		go e.path.check(backEnd)
	}
	return connection, err
}

// openWithoutCheck opens a connection to a back end as open does. It reports whether the path must be checked then.
func (e *exchanger) openWithoutCheck(backEnd *backEnd, limit time.Duration) (connection *connpool.Connection, mustCheck bool, err error) {
	connection, err = e.connectWithin(backEnd, limit)
	outcome := dialOutcomeOf(err)
	e.dials.WithLabelValues(string(outcome)).Inc()
	switch {
	case err == nil:
		e.path.recordOpened(backEnd)
	case outcome != dialTimedOut || limit >= pathCheckDelay: // a shorter limit expires on a sound path as well
		mustCheck = e.path.recordFailed(backEnd, err)
	}
	return connection, mustCheck, err
}

// connectWithin opens a connection within the given time.
func (e *exchanger) connectWithin(backEnd *backEnd, limit time.Duration) (*connpool.Connection, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	connection, err := e.dial(ctx, "tcp", backEnd.Address)
	if err != nil {
		return nil, err
	}
	opened := connpool.NewConnection(connection, e.clock.now())
	backEnd.pool.Watch(opened)
	return opened, nil
}

// exchangeOn writes the message on the connection and reads the head of its answer.
func (e *exchanger) exchangeOn(connection *connpool.Connection, message *message) (*answer, *failure) {
	headers := append([]header{{e.names.DeadlineMs, milliseconds(max(message.deadline, message.cutoff) - e.clock.now())}}, message.headers...)
	if !message.backEnd.isRelay {
		headers = append(headers, header{e.names.ExpectInstance, message.backEnd.ExpectedID()})
	}
	if tenant := message.request.tenant; tenant != nil {
		headers = append(headers, header{e.names.Tenant, tenant.Name})
	}
	head := e.writer.head(message.request, message.backEnd.Address, headers)
	writeDone, fault := e.write(connection, message, head)
	if fault != nil {
		return nil, fault
	}
	var watch *stallWatch
	if message.stall > 0 {
		watch = e.watchStall(connection, message.backEnd, message.stall, message.reserve)
		defer watch.stop()
	}
	answer, fault := e.readHead(connection, message)
	if fault != nil {
		return nil, fault
	}
	answer.writeDone = writeDone
	if answer.status >= fasthttp.StatusBadRequest {
		answer.stopWriting() // the back end does not need the rest of the body, and may close the connection
	}
	return answer, nil
}

// write sends the head and the body. It sends a long body in the background, and then returns a channel that receives the
// result of that write; otherwise the channel is nil.
func (e *exchanger) write(connection *connpool.Connection, message *message, head []byte) (<-chan error, *failure) {
	if len(message.request.body) < longBodyBytes {
		head = append(head, message.request.body...)
		if n, err := connection.Write(head); err != nil {
			return nil, e.connectionFailure(connection, message, n > 0, err)
		}
		return nil, nil
	}
	written := make(chan error, 1)
	go func() { written <- connection.WriteAll(net.Buffers{head, message.request.body}) }()
	return written, nil
}

// connectionFailure returns the failure for an error of a connection. A request of which nothing was sent cannot have run;
// any other may have.
func (e *exchanger) connectionFailure(connection *connpool.Connection, message *message, anySent bool, err error) *failure {
	err = connection.Cause(err)
	fault := &failure{verdict: verdict.MayHaveRun, mayHaveArrived: true, cause: fmt.Errorf("%w: %w", errConnectionBroken, err)}
	if errors.Is(err, grammar.ErrMalformed) {
		fault.cause = err // the connection works
	}
	if !anySent {
		fault.verdict, fault.mayHaveArrived = verdict.NotRun, false
	}
	switch {
	case message.canceller().isCancelled():
		fault.cause = errCancelled
	case connection.TimedOut: // checked first, since it is a timeout as well
		fault.cause = errPeerTimeout
	case isTimeout(err) && e.clock.now() >= message.request.deadline:
		fault.cause = errDeadline
	case isTimeout(err):
		fault.cause = errStalled
	}
	return fault
}

// readHead reads the head of the answer to the message. It skips answers to earlier requests on the connection.
func (e *exchanger) readHead(connection *connpool.Connection, message *message) (*answer, *failure) {
	for range maxStaleAnswers + 1 {
		head := &fasthttp.ResponseHeader{}
		declared, err := answerhead.Read(head, connection.Reader)
		if err != nil {
			return nil, e.connectionFailure(connection, message, true, err)
		}
		answer := &answer{
			status: head.StatusCode(), head: head, connection: connection, message: message, exchanger: e, memory: e.answerMemory.NewReservation(),
			body: framing.NewAnswerBody(declared, message.request.method, connection.Reader, connection.ConfirmEnd),
		}
		if string(head.Peek(e.names.RequestID)) == message.request.id {
			return answer, nil
		}
		isStale := connection.AnsweredRequests > 0 && answer.body.Kind() != framing.Close
		if !isStale || !discardBody(answer.body) {
			break
		}
	}
	return nil, &failure{verdict: verdict.MayHaveRun, mayHaveArrived: true, cause: errForeignAnswer}
}

// discardBody reads and discards a body, and reports whether it was complete.
func discardBody(body *framing.Body) bool {
	_, err := io.Copy(io.Discard, io.LimitReader(body, maxStaleBodyBytes))
	return err == nil && body.End() == framing.Declared
}

// checkAnswer checks whether the answer may be forwarded to the client. An answer saying that the request was not run is
// turned into a failure.
func (e *exchanger) checkAnswer(answer *answer) *failure {
	answer.message.backEnd.recordReceived(e.clock.now())
	if answer.message.backEnd.isRelay {
		return nil // the relay has checked the back end's answer, and applied its signals
	}
	e.recordReportedLoad(answer)
	if answer.status == fasthttp.StatusMisdirectedRequest {
		return &failure{verdict: verdict.NotRun, mayHaveArrived: true, cause: errMisdirected}
	}
	e.applyAnswerSignals(answer.message.backEnd, answer.head, answer.message.sentAt)
	if len(answer.head.Peek(e.names.NotExecuted)) > 0 {
		return &failure{
			verdict: verdict.NotRun, mayHaveArrived: true, cause: fmt.Errorf("%w: status %d", errNotExecuted, answer.status),
			retryAfter: answer.message.backEnd.signals.RemainingBackoff(e.clock.now()),
		}
	}
	if len(answer.head.ContentEncoding()) > 0 {
		return &failure{verdict: verdict.MayHaveRun, mayHaveArrived: true, cause: fmt.Errorf("%w: it is encoded", errUnsupportedAnswer)}
	}
	return nil
}
