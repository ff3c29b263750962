package relay

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// jointSilence is a silence that is longer than the limit of the watch and the time to open a connection together.
const jointSilence = 2 * time.Second

// Guards against a silence that ends an answer for a replacement at a back end that is silent as well, which the relay has
// not noticed because that back end was idle: the connection to it cannot be opened.
func TestAnswerOutlivesAJointSilenceOfTwoBackEnds(t *testing.T) {
	for _, kind := range silentAnswers() {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			idle := startSilentBackEnd(t, "idle", func(*silentBackEnd) script { return kind.sound })
			first := startSilentBackEnd(t, "first", func(machine *silentBackEnd) script {
				return func(connection net.Conn, request backEndRequest) bool {
					kind.answer(connection, request, func() {
						goOn := idle.stop()
						defer goOn()
						machine.standStill(jointSilence)
					})
					return true
				}
			})
			relay := newSilenceRelay(t, route(kind.route), first, idle)
			relay.engineOf("idle").addWork(placement.Work{Streams: 5}) // so that the first back end is selected first
			answer := relay.client(t).do("POST", "/path/", "x")
			require.Equal(t, 200, answer.status)
			require.True(t, answer.isComplete, "the answer was cut")
			require.Equal(t, kind.body, answer.body)
		})
	}
}

// Guards against a silence that ends an answer for a replacement that the other back end refuses, since its slots are taken by
// requests of other relays: the refused attempt is the last one that the route allows.
func TestSilentAnswerOutlivesTheRefusalOfItsReplacement(t *testing.T) {
	t.Parallel()
	for _, kind := range silentAnswers() {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			_, answer := silentSetup{secondAnswer: refusing(503)}.serveSilently(t, kind)
			require.Equal(t, 200, answer.status)
			require.True(t, answer.isComplete, "the answer was cut")
			require.Equal(t, kind.body, answer.body)
		})
	}
}

// Guards against a silence that ends an answer although the owner of the service's slots grants none for its replacement.
func TestSilentAnswerIsKeptWhileItsReplacementHasNoSlot(t *testing.T) {
	t.Parallel()
	var relay *testRelay
	first := startBackEnd(t, "first", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
		relay.awaitNoticedSilence(t, "first", silenceAfterNotice)
		return answering(200, "whole")(connection, request)
	})
	second := startBackEnd(t, "second", serving.StageWhole, answering(200, "second"))
	owner := newScriptedSlotOwner(t)
	relay = newTestRelay(t, route(func(r *serving.Route) { safe(r); r.Timeout = 4 * time.Second }), first, second).sharingSlots(t, owner.address())
	client := relay.client(t)
	client.send("POST", "/path/", "x")
	owner.answerSlotRequest(granting(relay.engineOf("first").hash))
	answered := make(chan clientAnswer, 1)
	go func() { answered <- client.read() }()
	var answer clientAnswer
	for isOver := false; !isOver; {
		select {
		case answer = <-answered:
			isOver = true
		default:
			owner.queueRequest() // other relays hold the slots of the second back end
		}
	}
	require.Equal(t, 200, answer.status)
	require.Equal(t, "whole", answer.body)
}

// queueRequest answers the next datagram, if it arrives within 10 ms and is a request for a slot, that the request is queued.
func (o *scriptedSlotOwner) queueRequest() {
	o.t.Helper()
	require.NoError(o.t, o.socket.SetReadDeadline(time.Now().Add(10*time.Millisecond)))
	buffer := make([]byte, 2*datagram.MaxSize)
	length, from, err := o.socket.ReadFrom(buffer)
	if isTimeout(err) {
		return
	}
	require.NoError(o.t, err)
	received := &v1.RelayDatagram{}
	require.NoError(o.t, proto.Unmarshal(buffer[:length], received))
	if request := received.GetSlotRequest(); request != nil {
		o.write(from, &v1.RelayDatagram{Content: &v1.RelayDatagram_SlotAnswer{SlotAnswer: &v1.SlotAnswer{
			Number: request.GetNumber(), Relay: request.GetRelay(), Outcome: v1.SlotOutcome_SLOT_OUTCOME_QUEUED,
		}}})
	}
}

// Guards against a migrated run that is lost because its new engine is silent while the relay opens the connection: the run
// has stopped at its former engine, and must not be started again.
func TestMigratedRunOutlivesASilenceOfItsNewEngine(t *testing.T) {
	t.Parallel()
	began, stopped := make(chan struct{}), make(chan struct{})
	next := startSilentBackEnd(t, "next", func(*silentBackEnd) script { return streaming("next", eventTwo+eventThree) })
	former := startSilentBackEnd(t, "former", func(*silentBackEnd) script {
		return func(connection net.Conn, request backEndRequest) bool {
			switch {
			case request.line != "POST /move":
				_, _ = io.WriteString(connection, strings.NewReplacer("ID", string(request.head.Peek("T-Id")), "SEAL", "former").Replace(streamHead))
				_, _ = connection.Write(appendChunk(nil, []byte(eventOne)))
				close(began)
				<-stopped
				return false
			case strings.HasSuffix(request.body, "true"):
				goOn := next.stop()
				time.AfterFunc(time.Second, goOn)
				close(stopped)
			}
			writeAnswer(connection, request, 200, "handle")
			return true
		}
	})
	former.entry.Stage, next.entry.Stage = serving.StageDecode, serving.StageDecode
	relay := newTestRelay(t, route(func(r *serving.Route) { stream(false)(r); r.MaxAttempts = 1 }), former.scriptedBackEnd, next.scriptedBackEnd).preferring("former")
	relay.exchanger.dial = dialing.WithDeadPeerDetection()
	client := relay.client(t)
	client.send("POST", "/path/", "x")
	<-began
	require.Eventually(t, func() bool { return relay.engineOf("former").moverCount() == 1 }, time.Minute, time.Millisecond)
	relay.engineOf("next").removeWork(relay.engineOf("next").currentLoad(0).ownWork) // frees its slots
	relay.changeListing(func(entry *serving.BackEnd) { entry.Leaving = entry.Leaving || entry.ID == "former" })
	answer := client.read()
	require.True(t, answer.isComplete, "the answer was cut")
	require.Equal(t, eventOne+eventTwo+eventThree, answer.body)
}
