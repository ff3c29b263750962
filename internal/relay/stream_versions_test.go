package relay

import (
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/relay/eventstream"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// ofSoftware sets the version of a back end's software.
func ofSoftware(software string, backEnd *scriptedBackEnd) *scriptedBackEnd {
	backEnd.entry.Software = software
	return backEnd
}

// wholeStream is a stream of three events, of which a back end sends those after the client's last one.
const wholeStream = eventOne + eventTwo + eventThree

// resuming streams the events of wholeStream after the one that the request names.
func resuming(seal string) script {
	return func(connection net.Conn, request backEndRequest) bool {
		events := []string{eventOne, eventTwo, eventThree}
		for index, event := range events {
			if string(request.head.Peek("T-Last")) == eventstream.ID([]byte(event)) {
				return streaming(seal, events[index+1:]...)(connection, request)
			}
		}
		return streaming(seal, events...)(connection, request)
	}
}

// discouraging adds work to a back end, so that others are selected first.
func (r *testRelay) discouraging(id string, streams int) {
	r.engineOf(id).addWork(placement.Work{Streams: streams})
}

// Guards against a broken stream that goes on, within its answer, at another software version than the one that began it.
func TestBrokenStreamGoesOnOnlyAtItsSoftwareVersion(t *testing.T) {
	for stageName, stage := range map[string]serving.Stage{"engines": serving.StageDecode, "other back ends": serving.StageWhole} {
		for name, hasSecond := range map[string]bool{"with another of its version": true, "without": false} {
			t.Run(stageName+", "+name, func(t *testing.T) {
				first := ofSoftware("v1", startBackEnd(t, "first", stage, streaming("first", eventOne, "cut")))
				other := ofSoftware("v2", startBackEnd(t, "other", stage, resuming("other")))
				backEnds := []*scriptedBackEnd{first, other}
				if hasSecond {
					backEnds = append(backEnds, ofSoftware("v1", startBackEnd(t, "second", stage, resuming("second"))))
				}
				relay := newTestRelay(t, route(stream(true)), backEnds...)
				relay.discouraging("other", 2)
				if hasSecond {
					relay.discouraging("second", 4)
				}
				answer := relay.client(t).do("POST", "/path/", "x")
				require.Empty(t, other.receivedRequests())
				require.Equal(t, hasSecond, answer.isComplete)
				require.Equal(t, hasSecond, answer.body == wholeStream, answer.body)
			})
		}
	}
}

// Guards against a silent stream that is replaced at another software version.
func TestSilentStreamIsNotReplacedAtAnotherSoftwareVersion(t *testing.T) {
	for stageName, stage := range map[string]serving.Stage{"engines": serving.StageDecode, "other back ends": serving.StageWhole} {
		t.Run(stageName, func(t *testing.T) {
			t.Parallel()
			silent := ofSoftware("v1", startBackEnd(t, "silent", stage, func(connection net.Conn, request backEndRequest) bool {
				_, _ = io.WriteString(connection, strings.NewReplacer("ID", string(request.head.Peek("T-Id")), "SEAL", "seal").Replace(streamHead))
				_, _ = connection.Write(appendChunk(nil, []byte(eventOne)))
				time.Sleep(minStreamStall + minStreamStall/2)
				_, _ = connection.Write(append(appendChunk(nil, []byte(eventTwo+eventThree)), "0\r\n\r\n"...))
				return true
			}))
			other := ofSoftware("v2", startBackEnd(t, "other", stage, resuming("other")))
			relay := newTestRelay(t, route(stream(true)), silent, other)
			relay.discouraging("other", 2)
			answer := relay.client(t).do("POST", "/path/", "x")
			require.Equal(t, wholeStream, answer.body)
			require.True(t, answer.isComplete)
			require.Empty(t, other.receivedRequests())
		})
	}
}

// Guards against a run that is moved off a leaving engine to another software version.
func TestRunIsNotMovedToAnotherSoftwareVersion(t *testing.T) {
	former := startMovableEngine(t, moveAnswer{200, ""}, moveAnswer{200, "handle"})
	ofSoftware("v1", former.scriptedBackEnd)
	other := ofSoftware("v2", startBackEnd(t, "other", serving.StageDecode, resuming("other")))
	relay := newTestRelay(t, route(stream(false)), former.scriptedBackEnd, other)
	relay.discouraging("other", 2)
	client := former.beginRun(t, relay)
	engine := relay.engineOf("former")
	engine.mutex.Lock()
	movers := slices.Collect(maps.Keys(engine.movers))
	engine.mutex.Unlock()
	require.Len(t, movers, 1)
	movers[0].migrate()
	require.Empty(t, former.moves())
	require.Empty(t, other.receivedRequests())
	close(former.stopped)
	require.Equal(t, eventOne, client.read().body)
}

// Guards against a stream that goes on at another software version through another relay.
func TestForwardedStreamGoesOnOnlyAtItsSoftwareVersion(t *testing.T) {
	for name, hasSecond := range map[string]bool{"with another of its version": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			cut := make(chan struct{})
			first := ofSoftware("v1", startBackEnd(t, "own", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
				_, _ = io.WriteString(connection, strings.NewReplacer("ID", string(request.head.Peek("T-Id")), "SEAL", "own").Replace(streamHead))
				_, _ = connection.Write(appendChunk(nil, []byte(eventOne)))
				<-cut
				return false
			}))
			others := startThree(t, resuming("other"))
			for _, each := range others {
				ofSoftware("v2", each)
			}
			if hasSecond {
				ofSoftware("v1", others[2])
			}
			relays, paths := newRelayGroup(t, 2, route(stream(true)), nil, append(others, first)...)
			paths[0].setFor(dialsRefused, others...)
			paths[1].setFor(dialsRefused, first)
			relays[1].discouraging("c", 3)
			client := relays[0].preferring("own").client(t)
			client.send("POST", "/path/", "x")
			_, err := client.reader.Peek(1)
			require.NoError(t, err)
			paths[0].set(dialsRefused)
			close(cut)
			answer := client.read()
			require.Empty(t, allRequests(others[:2]))
			require.Equal(t, hasSecond, answer.isComplete)
			require.Equal(t, hasSecond, answer.body == wholeStream, answer.body)
		})
	}
}

// takeUp takes up a stream at the relay with a request of another identity.
func (r *testRelay) takeUp(t *testing.T, headers ...string) clientAnswer {
	t.Helper()
	client := r.client(t)
	client.sent = 100
	return client.do("POST", "/path/", "x", headers...)
}

// versionGroup is three relays in front of back ends of two software versions. The first back end of v1 breaks its streams off.
type versionGroup struct {
	relays        []*testRelay
	broken        *scriptedBackEnd
	same, another *scriptedBackEnd
}

// startVersionGroup starts the group and begins a stream as id-1 at the first relay, which breaks off after its first event.
func startVersionGroup(t *testing.T, tenants []serving.Tenant, headers ...string) *versionGroup {
	t.Helper()
	group := &versionGroup{
		broken:  ofSoftware("v1", startBackEnd(t, "broken", serving.StageDecode, streaming("broken", eventOne, "cut"))),
		same:    ofSoftware("v1", startBackEnd(t, "same", serving.StageDecode, resuming("same"))),
		another: ofSoftware("v2", startBackEnd(t, "another", serving.StageDecode, resuming("another"))),
	}
	oneAttempt := func(r *serving.Route) { stream(true)(r); r.MaxAttempts = 1 }
	group.relays, _ = newRelayGroup(t, 3, route(oneAttempt), tenants, group.broken, group.same, group.another)
	avoid := func(ids ...string) {
		for _, relay := range group.relays { // any of them may own the engines
			for _, engine := range relay.view.Load().byService["service"] {
				engine.recordSuccess()
			}
			for _, id := range ids {
				relay.engineOf(id).avoidUntil(relay.clock.now() + time.Hour)
			}
		}
	}
	avoid("same", "another")
	answer := group.relays[0].client(t).do("POST", "/path/", "x", headers...)
	require.Equal(t, eventOne, answer.body)
	require.False(t, answer.isComplete)
	avoid("broken")
	for _, relay := range group.relays {
		relay.discouraging("same", 3)
	}
	return group
}

// Guards against a stream that a client takes up and that goes on at another software version, at another relay, also after
// the first one has died.
func TestTakenUpStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	for name, isDead := range map[string]bool{"first relay alive": false, "first relay dead": true} {
		t.Run(name, func(t *testing.T) {
			group := startVersionGroup(t, nil)
			if isDead {
				require.NoError(t, group.relays[0].datagrams.Close())
			}
			for _, relay := range group.relays[1:] {
				answer := relay.takeUp(t, "T-Last: 1", "T-Resumes: id-1")
				require.Equal(t, 200, answer.status)
				require.Equal(t, eventTwo+eventThree, answer.body)
			}
			require.Empty(t, group.another.receivedRequests())
		})
	}
}

// Guards against a stream that goes on at a guess: the relay must know the version that began it, and refuse it at once
// otherwise. Nothing of another tenant's stream may be told or taken.
func TestTakenUpStreamOfUnknownVersionIsRefused(t *testing.T) {
	one, two := "T-Key: key k1", "T-Key: key k2"
	for name, headers := range map[string][]string{
		"a name that was never used": {one, "T-Last: 1", "T-Resumes: id-77"},
		"no name":                    {one, "T-Last: 1"},
		"another tenant's name":      {two, "T-Last: 1", "T-Resumes: id-1"},
		"no last event":              {one, "T-Resumes: id-77"},
	} {
		t.Run(name, func(t *testing.T) {
			group := startVersionGroup(t, twoTenants(), one)
			answer := group.relays[1].takeUp(t, headers...)
			require.Equal(t, 503, answer.status)
			require.Empty(t, answer.head.Peek("Retry-After"), "the version will not become known")
			require.Empty(t, group.same.receivedRequests())
			require.Empty(t, group.another.receivedRequests())
		})
	}
}

// Guards against a stream that is refused although one software version alone could have begun it, for want of a name.
func TestOneSoftwareVersionNeedsNoName(t *testing.T) {
	for name, headers := range map[string][]string{
		"no name": {"T-Last: 1"}, "a name that was never used": {"T-Last: 1", "T-Resumes: id-77"},
	} {
		t.Run(name, func(t *testing.T) {
			backEnds := startThree(t, resuming("seal"))
			for _, each := range backEnds {
				ofSoftware("v1", each)
			}
			relays, _ := newRelayGroup(t, 2, route(stream(true)), nil, backEnds...)
			answer := relays[1].takeUp(t, headers...)
			require.Equal(t, eventTwo+eventThree, answer.body)
			require.True(t, answer.isComplete)
		})
	}
}

// Guards against a stream that goes on without a record although changes of its route may have been forgotten since it began: it may have lasted for
// longer than these are kept, or this relay has not heard of them for that long.
func TestStreamsNeedARecordWhereFormerConfigurationsAreForgotten(t *testing.T) {
	for name, test := range map[string]struct {
		timeout, silence time.Duration
		status           int
	}{
		"sound":                      {streamorigin.MaxLifetime / 2, maxConfigurationAge - time.Second, 200},
		"the stream may last longer": {streamorigin.MaxLifetime/2 + time.Millisecond, 0, 503},
		"no leader for long":         {time.Second, maxConfigurationAge, 503},
	} {
		t.Run(name, func(t *testing.T) {
			backEnds := startThree(t, resuming("seal"))
			for _, each := range backEnds {
				ofSoftware("v1", each)
			}
			configuration := route(func(r *serving.Route) { stream(true)(r); r.Timeout = test.timeout })
			relays, _ := newRelayGroup(t, 2, configuration, nil, backEnds...)
			relays[1].configurationHeardAt.Store(int64(relays[1].clock.now() - test.silence))
			answer := relays[1].takeUp(t, "T-Last: 1", "T-Resumes: id-77")
			require.Equal(t, test.status, answer.status)
			require.Equal(t, test.silence >= maxConfigurationAge, len(answer.head.Peek("Retry-After")) > 0, "a leader may be back by then")
		})
	}
}

// restarted is an engine that has started again under its identity, with another software version, while the list still shows the
// former incarnation. bornMs is when the present one started.
func restarted(bornMs int64, stream script) script {
	return func(connection net.Conn, request backEndRequest) bool {
		if request.line == "GET /report" {
			writeAnswer(connection, request, 200, strconv.FormatInt(bornMs, 10))
			return true
		}
		return stream(connection, request)
	}
}

// Guards against a stream that goes on, or begins, at an engine that has started again under its identity with another software
// version, which the list does not show yet.
func TestStreamIsNotSentToAnIncarnationOfAnotherVersion(t *testing.T) {
	start := func(id, software string, listedMs, bornMs int64, stream script) *scriptedBackEnd {
		engine := ofSoftware(software, startBackEnd(t, id, serving.StageDecode, restarted(bornMs, stream)))
		engine.entry.Replica, engine.entry.StartedAtMs = id, listedMs
		return engine
	}
	streamsOf := func(engine *scriptedBackEnd) (streams, reports int) {
		for _, request := range engine.receivedRequests() {
			if request.line == "GET /report" {
				reports++
			} else {
				streams++
			}
		}
		return streams, reports
	}
	for name, test := range map[string]struct {
		otherVersion    string
		isBeginVerified bool
	}{"several versions": {"v2", true}, "one version": {"v1", false}} {
		t.Run(name, func(t *testing.T) {
			first := start("first", "v1", 1, 1, streaming("first", eventOne, "cut"))
			again := start("again", "v1", 1, 2, resuming("again"))
			same := start("same", "v1", 1, 1, resuming("same"))
			other := start("other", test.otherVersion, 1, 1, resuming("other"))
			relay := newTestRelay(t, route(func(r *serving.Route) { stream(true)(r); r.MaxAttempts = 3 }), first, again, same, other)
			relay.discouraging("again", 2)
			relay.discouraging("same", 3)
			relay.discouraging("other", 4)
			answer := relay.client(t).do("POST", "/path/", "x")
			require.True(t, answer.isComplete)
			require.Equal(t, wholeStream, answer.body)
			streams, reports := streamsOf(again)
			require.Zero(t, streams, "its version is not known")
			require.NotZero(t, reports)
			_, reports = streamsOf(first)
			require.Equal(t, test.isBeginVerified, reports > 0, "the stream begins there")
			_, before := streamsOf(same)
			require.Equal(t, wholeStream, relay.client(t).do("POST", "/path/", "x").body)
			_, after := streamsOf(same)
			require.Equal(t, before, after, "a connection is verified once")
		})
	}
}

// Guards against a stream that goes on at an engine which refuses to report when it started: it may have started again with another
// version.
func TestStreamDoesNotGoOnAtAnEngineThatRefusesToReport(t *testing.T) {
	first := ofSoftware("v1", startBackEnd(t, "first", serving.StageDecode, streaming("first", eventOne, "cut")))
	resting := ofSoftware("v1", startBackEnd(t, "resting", serving.StageDecode, func(connection net.Conn, request backEndRequest) bool {
		if request.line == "GET /report" {
			writeAnswer(connection, request, 503, "")
			return true
		}
		return resuming("resting")(connection, request)
	}))
	resting.entry.Replica, resting.entry.StartedAtMs = "resting", 1
	relay := newTestRelay(t, route(stream(true)), first, resting).preferring("first")
	answer := relay.client(t).do("POST", "/path/", "x")
	require.Equal(t, eventOne, answer.body)
	require.False(t, answer.isComplete)
	requests := resting.receivedRequests()
	require.Len(t, requests, 1)
	require.Equal(t, "GET /report", requests[0].line)
}

// Guards against streams that are refused while engines start again, and against one that began at such an engine and goes on at a
// guess: its version is not known until the list shows it.
func TestStreamMayBeginAtAnIncarnationThatIsNotListed(t *testing.T) {
	again := ofSoftware("v1", startBackEnd(t, "again", serving.StageDecode, restarted(2, streaming("again", eventOne, "cut"))))
	again.entry.Replica, again.entry.StartedAtMs = "again", 1
	same := ofSoftware("v1", startBackEnd(t, "same", serving.StageDecode, resuming("same")))
	other := ofSoftware("v2", startBackEnd(t, "other", serving.StageDecode, resuming("other")))
	relay := newTestRelay(t, route(stream(true)), again, same, other).preferring("again")
	answer := relay.client(t).do("POST", "/path/", "x")
	require.Equal(t, 200, answer.status)
	require.Equal(t, eventOne, answer.body)
	require.False(t, answer.isComplete)
	require.Equal(t, 503, relay.takeUp(t, "T-Last: 1", "T-Resumes: id-1").status)
	require.Empty(t, same.receivedRequests())
	require.Empty(t, other.receivedRequests())
}

// Guards against streams that clients take up and that are refused for load, as new ones are: they go before these.
func TestTakenUpStreamIsNotRefusedForLoad(t *testing.T) {
	for name, test := range map[string]struct {
		headers []string
		status  int
	}{"new": {nil, 503}, "taken up": {[]string{"T-Last: 1"}, 200}} {
		t.Run(name, func(t *testing.T) {
			reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
			decoder := startBackEnd(t, "decoder", serving.StageDecode, resuming("decoder"))
			relay := newTestRelay(t, route(stream(true)), reader, decoder)
			relay.engineOf("reader").addWork(placement.PrefillWork(100_000, 0).Plus(placement.Work{Prefills: 5}))
			answer := relay.client(t).do("POST", "/path/", "x", append(test.headers, longPrompt...)...)
			require.Equal(t, test.status, answer.status)
		})
	}
}

// Guards against a refusal that keeps a client waiting for a version that does not come back, or that names a time before it does.
func TestStreamOfAVersionThatIsGoneIsRefusedAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		disturb    func(relay *testRelay)
		retryAfter bool
	}{
		"leaving":      {func(relay *testRelay) { relay.markLeaving("same") }, false},
		"asks to rest": {func(relay *testRelay) { _ = relay.client(t).do("POST", "/path/", "x") }, true},
	} {
		t.Run(name, func(t *testing.T) {
			resting := func(connection net.Conn, request backEndRequest) bool {
				writeAnswer(connection, request, 503, "", "T-Not-Run: 1", "Retry-After: 3")
				return true
			}
			same := ofSoftware("v1", startBackEnd(t, "same", serving.StageWhole, resting))
			other := ofSoftware("v2", startBackEnd(t, "other", serving.StageWhole, resuming("other")))
			relay := newTestRelay(t, route(stream(true)), same, other)
			relay.discouraging("other", 2)
			name := streamorigin.NameOf("", "test", "id-7")
			relay.origins.Record(name, "service", streamorigin.Record{Service: serviceHash("service"), Version: streamorigin.VersionOf("v1"), Sequence: 1})
			test.disturb(relay)
			before := len(other.receivedRequests())
			answer := relay.takeUp(t, "T-Last: 1", "T-Resumes: id-7")
			require.Equal(t, 503, answer.status)
			require.Len(t, other.receivedRequests(), before)
			seconds, err := strconv.ParseFloat(string(answer.head.Peek("Retry-After")), 64)
			require.Equal(t, test.retryAfter, err == nil)
			if test.retryAfter {
				require.InDelta(t, 3, seconds, 1)
			}
		})
	}
}

// Guards against a stream that is sent to an engine although its client has left while the engine was asked for its report.
func TestClientThatLeavesBeforeTheReportIsNotServed(t *testing.T) {
	asked, hasLeft := make(chan struct{}), make(chan struct{})
	engine := ofSoftware("v1", startBackEnd(t, "engine", serving.StageDecode, func(connection net.Conn, request backEndRequest) bool {
		if request.line != "GET /report" {
			return resuming("engine")(connection, request)
		}
		close(asked)
		<-hasLeft
		writeAnswer(connection, request, 200, "1")
		return true
	}))
	engine.entry.Replica, engine.entry.StartedAtMs = "engine", 1
	other := ofSoftware("v2", startBackEnd(t, "other", serving.StageDecode, resuming("other")))
	relay := newTestRelay(t, route(stream(true)), engine, other).preferring("engine")
	client := relay.client(t)
	client.send("POST", "/path/", "x")
	<-asked
	require.NoError(t, client.connection.Close())
	for _, request := range relay.connections.activeRequests() {
		require.Eventually(t, request.canceller.isCancelled, time.Minute, time.Millisecond)
	}
	close(hasLeft)
	require.Eventually(t, func() bool { return relay.connections.servingCount() == 0 }, time.Minute, time.Millisecond)
	require.Len(t, engine.receivedRequests(), 1)
	require.Empty(t, other.receivedRequests())
}
