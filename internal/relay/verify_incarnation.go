package relay

import (
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/relay/connpool"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const (
	// reportTimeout bounds the wait for an engine's report. Sound engines are silent for up to 2 s; another one is tried then.
	reportTimeout = 500 * time.Millisecond
	// maxReportBytes limits the size of an engine's report.
	maxReportBytes = 64 << 10
)

// connectVerified returns a connection to the back end, and reports the software version that serves it to the message, if the
// message depends on it. The peer may close a connection before the message is sent; another one is then opened.
func (e *exchanger) connectVerified(message *message) (*connpool.Connection, *failure) {
	const attempts = 2
	var fault *failure
	for range attempts {
		var connection *connpool.Connection
		if connection, fault = e.connect(message); fault != nil {
			return nil, fault
		}
		var version streamorigin.Version
		if version, fault = e.servedVersion(connection, message); fault == nil {
			if message.onVersion != nil {
				message.onVersion(version)
			}
			return connection, nil
		}
		message.canceller().detach()
		connection.Discard()
		if !fault.isBroken() {
			break
		}
	}
	return nil, fault
}

// servedVersion returns the software version that serves a connection. An engine may have started again under its identity, with
// another version, since the list was made: for a message that depends on the version, the engine is asked which incarnation it is. A
// connection ends with its incarnation, so that it is asked once. The version of an incarnation that is not listed yet, or of an engine that
// refuses to report, is unknown: a stream may begin there, but not go on. An engine that reports no start time, or has a limit, is taken for the listed one.
func (e *exchanger) servedVersion(connection *connpool.Connection, message *message) (streamorigin.Version, *failure) {
	engine := message.backEnd
	if !message.dependsOnVersion || connection.IsIncarnationKnown || !engine.isEngine() || engine.StartedAtMs == 0 || engine.hasLimit() {
		return engine.version, nil
	}
	startedAtMs, err := e.readStartTime(connection, message)
	switch {
	case err != nil && message.canceller().isCancelled():
		return streamorigin.Unknown, &failure{verdict: verdict.NotRun, cause: errCancelled}
	case isTimeout(err):
		return streamorigin.Unknown, &failure{verdict: verdict.NotRun, cause: errStalled}
	case errors.Is(err, errNoReport) && message.isBound:
		return streamorigin.Unknown, &failure{verdict: verdict.NotRun, cause: err}
	case errors.Is(err, errNoReport):
		return streamorigin.Unknown, nil // the stream may begin there, but its version is not known
	case errors.Is(err, errMisdirected):
		return streamorigin.Unknown, &failure{verdict: verdict.NotRun, cause: errMisdirected}
	case err != nil:
		return streamorigin.Unknown, &failure{verdict: verdict.NotRun, cause: fmt.Errorf("%w: the engine's report cannot be read: %w", errConnectionBroken, err)}
	case startedAtMs == 0 || startedAtMs == engine.StartedAtMs:
		connection.IsIncarnationKnown = true
		return engine.version, nil
	case message.isBound:
		return streamorigin.Unknown, &failure{verdict: verdict.NotRun, cause: errOtherIncarnation}
	default:
		return streamorigin.Unknown, nil
	}
}

// readStartTime reads when the engine's incarnation on a connection started, in Unix milliseconds; 0 if it does not report it. The
// connection can carry the message then.
func (e *exchanger) readStartTime(connection *connpool.Connection, message *message) (startedAtMs int64, err error) {
	canceller := message.canceller()
	canceller.extend(e.clock, min(e.clock.now()+reportTimeout, message.deadline))
	defer canceller.extend(e.clock, message.deadline)
	if err := e.writeInternalCall(connection, message.backEnd, fasthttp.MethodGet, e.reportPath, nil); err != nil {
		return 0, err
	}
	answer, err := readInternalAnswer(connection, fasthttp.MethodGet, maxReportBytes)
	if err != nil {
		return 0, err
	}
	status := answer.head.StatusCode()
	if status == fasthttp.StatusMisdirectedRequest {
		return 0, errMisdirected
	}
	e.applyAnswerSignals(message.backEnd, answer.head, internalCallSentAt)
	if answer.head.ConnectionClose() {
		return 0, errConnectionBroken
	}
	isRefused := status >= fasthttp.StatusInternalServerError || status == fasthttp.StatusTooManyRequests
	if isRefused {
		return 0, fmt.Errorf("%w: status %d", errNoReport, status)
	}
	if status != fasthttp.StatusOK {
		return 0, nil // it has no report
	}
	return e.parseReport(answer.body)
}
