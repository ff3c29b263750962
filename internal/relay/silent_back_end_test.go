package relay

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/relay/connpool"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/standin/silence"
)

// silences are the lengths for which a sound back end may be silent.
var silences = []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second}

// probeDue is shortly before a relay's first keep-alive probe on a connection on which nothing arrives.
const probeDue = 900 * time.Millisecond

// silentBackEnd is a scripted back end whose machine may stand still. A standing machine neither receives nor sends.
type silentBackEnd struct {
	*scriptedBackEnd
	t        *testing.T
	listener *net.TCPListener
	// running is locked while the machine stands still.
	running     sync.RWMutex
	mutex       sync.Mutex
	connections []*net.TCPConn
}

// machineConnection is a connection of a machine that may stand still.
type machineConnection struct {
	*net.TCPConn
	machine *silentBackEnd
}

// Write waits until the machine runs.
func (c machineConnection) Write(bytes []byte) (int, error) {
	c.machine.running.RLock()
	defer c.machine.running.RUnlock()
	return c.TCPConn.Write(bytes)
}

// startSilentBackEnd starts a back end whose script may make its machine stand still.
func startSilentBackEnd(t *testing.T, id string, scriptOf func(machine *silentBackEnd) script) *silentBackEnd {
	t.Helper()
	listener, err := silence.Listen()
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	machine := &silentBackEnd{t: t, listener: listener, scriptedBackEnd: &scriptedBackEnd{
		entry: serving.BackEnd{ID: id, Service: "service", Address: listener.Addr().String(), Zone: "zone", Slots: 8, Software: "v1"},
	}}
	answer := scriptOf(machine)
	go func() {
		for {
			connection, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			machine.mutex.Lock()
			machine.connections = append(machine.connections, connection)
			machine.mutex.Unlock()
			go machine.serve(machineConnection{TCPConn: connection, machine: machine}, answer)
		}
	}()
	return machine
}

// accepted returns the connections that the machine has accepted.
func (b *silentBackEnd) accepted() []*net.TCPConn {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return append([]*net.TCPConn(nil), b.connections...)
}

// stop makes the machine stand still until the returned function is called.
func (b *silentBackEnd) stop() (goOn func()) {
	b.running.Lock()
	connections := b.accepted()
	if err := silence.Begin(b.listener); err != nil {
		b.t.Errorf("cannot silence the listener: %v", err)
	}
	for _, connection := range connections {
		if err := silence.Begin(connection); err != nil {
			b.t.Errorf("cannot silence a connection: %v", err)
		}
	}
	return func() {
		_ = silence.End(b.listener) // fails only if the test has ended
		for _, connection := range connections {
			_ = silence.End(connection) // fails only if the connection is closed
		}
		b.running.Unlock()
	}
}

// standStill makes the machine stand still for the given time.
func (b *silentBackEnd) standStill(length time.Duration) {
	goOn := b.stop()
	time.Sleep(length)
	goOn()
}

// newSilenceRelay starts a relay whose connections to back ends are opened as in production.
func newSilenceRelay(t *testing.T, config serving.Route, backEnds ...*silentBackEnd) *testRelay {
	t.Helper()
	scripted := make([]*scriptedBackEnd, len(backEnds))
	for index, backEnd := range backEnds {
		scripted[index] = backEnd.scriptedBackEnd
	}
	relay := newTestRelay(t, config, scripted...)
	relay.exchanger.dial = dialing.WithDeadPeerDetection()
	return relay
}

// patient returns a route on which no answer is aborted because its back end is silent. Its requests are unsafe unless a
// change says otherwise.
func patient(changes ...func(*serving.Route)) serving.Route {
	return route(func(config *serving.Route) {
		config.Timeout, config.Target, config.MaxAttempts = 30*time.Second, 10*time.Second, 1
		for _, change := range changes {
			change(config)
		}
	})
}

// Guards against cutting a stream whose back end is silent for up to 2 s between two events, with no data of the relay
// unacknowledged: a keep-alive probe without an answer ended the connection.
func TestStreamOutlivesASilenceOfItsBackEnd(t *testing.T) {
	for _, length := range silences {
		t.Run(length.String(), func(t *testing.T) {
			t.Parallel()
			backEnd := startSilentBackEnd(t, "one", func(machine *silentBackEnd) script {
				return func(connection net.Conn, request backEndRequest) bool {
					head := strings.NewReplacer("ID", string(request.head.Peek("T-Id")), "SEAL", "seal").Replace(streamHead)
					_, _ = io.WriteString(connection, head+string(appendChunk(nil, []byte(eventOne))))
					time.Sleep(probeDue)
					machine.standStill(length)
					time.Sleep(probeDue) // a connection is dropped when the next probe is due
					_, _ = io.WriteString(connection, string(appendChunk(nil, []byte(eventTwo+eventThree)))+"0\r\n\r\n")
					return true
				}
			})
			answer := newSilenceRelay(t, patient(stream(false)), backEnd).client(t).do("GET", "/path/", "")
			require.True(t, answer.isComplete, "the stream was cut")
			require.Equal(t, eventOne+eventTwo+eventThree, answer.body)
			require.Len(t, backEnd.receivedRequests(), 1)
		})
	}
}

// Guards against ending a request that was sent while its back end is silent for up to 2 s: the kernel aborted the
// connection 1 s after the request was sent.
func TestRequestSentIntoASilenceIsAnswered(t *testing.T) {
	for kind, change := range map[string]func(*serving.Route){"unsafe": func(*serving.Route) {}, "safe": safe} {
		for _, length := range silences {
			t.Run(kind+" "+length.String(), func(t *testing.T) {
				t.Parallel()
				backEnd := startSilentBackEnd(t, "one", func(*silentBackEnd) script { return answering(200, "ok") })
				client := newSilenceRelay(t, patient(change), backEnd).client(t)
				require.Equal(t, 200, client.do("POST", "/path/", "before").status)
				goOn := backEnd.stop()
				client.send("POST", "/path/", "into the silence")
				time.Sleep(length)
				goOn()
				answer := client.read()
				require.Equal(t, 200, answer.status)
				require.Equal(t, "ok", answer.body)
				require.Len(t, backEnd.receivedRequests(), 2, "the request is sent once")
				require.Len(t, backEnd.accepted(), 1)
			})
		}
	}
}

// Guards against ending a request whose back end works on it without a word and is silent for up to 2 s meanwhile: a
// keep-alive probe without an answer ended the connection.
func TestLongWorkOutlivesASilenceOfItsBackEnd(t *testing.T) {
	for _, length := range silences {
		t.Run(length.String(), func(t *testing.T) {
			t.Parallel()
			backEnd := startSilentBackEnd(t, "one", func(machine *silentBackEnd) script {
				return func(connection net.Conn, request backEndRequest) bool {
					time.Sleep(probeDue)
					machine.standStill(length)
					time.Sleep(probeDue) // a connection is dropped when the next probe is due
					writeAnswer(connection, request, 200, "ok")
					return true
				}
			})
			answer := newSilenceRelay(t, patient(), backEnd).client(t).do("POST", "/path/", "work")
			require.Equal(t, 200, answer.status)
			require.Equal(t, "ok", answer.body)
			require.Len(t, backEnd.receivedRequests(), 1)
		})
	}
}

// Guards against ending the other requests at a back end, and closing its idle connections, when one connection has sent
// data into a silence of up to 2 s.
func TestSilenceEndsNothingElseAtTheBackEnd(t *testing.T) {
	for _, length := range silences {
		t.Run(length.String(), func(t *testing.T) {
			t.Parallel()
			finish := make(chan struct{})
			backEnd := startSilentBackEnd(t, "one", func(*silentBackEnd) script {
				return func(connection net.Conn, request backEndRequest) bool {
					if request.body == "long" {
						<-finish
					}
					writeAnswer(connection, request, 200, request.body)
					return true
				}
			})
			relay := newSilenceRelay(t, patient(), backEnd)
			long, first, second := relay.client(t), relay.client(t), relay.client(t)
			long.send("POST", "/path/", "long")
			require.Eventually(t, func() bool { return len(backEnd.receivedRequests()) == 1 }, time.Minute, time.Millisecond)
			require.Equal(t, 200, first.do("POST", "/path/", "before").status)
			record := relay.view.Load().byService["service"][0]
			idle, err := relay.exchanger.open(record, time.Minute)
			require.NoError(t, err)
			record.pool.Put(idle, relay.clock.now())
			require.Eventually(t, func() bool { return len(backEnd.accepted()) == 3 }, time.Minute, time.Millisecond)
			goOn := backEnd.stop()
			second.send("POST", "/path/", "into the silence")
			time.Sleep(length)
			goOn()
			require.Equal(t, "into the silence", second.read().body)
			close(finish)
			require.Equal(t, "long", long.read().body)
			require.Len(t, backEnd.accepted(), 3, "the relay has opened another connection")
			backEnd.scriptedBackEnd.mutex.Lock()
			defer backEnd.scriptedBackEnd.mutex.Unlock()
			require.Zero(t, backEnd.closed, "the relay has closed a connection")
			require.True(t, record.pool.HasIdle(relay.clock.now(), connpool.DefaultIdleLimit))
		})
	}
}

// loseConnections makes the connections that are open now silent for good. The machine accepts new ones.
func (b *silentBackEnd) loseConnections() {
	for _, connection := range b.accepted() {
		require.NoError(b.t, silence.Begin(connection))
	}
}

// openIdle opens idle connections to the only back end and returns its record.
func (r *testRelay) openIdle(t *testing.T, backEnd *silentBackEnd, count int) *backEnd {
	t.Helper()
	record := r.view.Load().byService["service"][0]
	for range count {
		connection, err := r.exchanger.open(record, time.Minute)
		require.NoError(t, err)
		record.pool.Put(connection, r.clock.now())
	}
	require.Eventually(t, func() bool { return len(backEnd.accepted()) == count }, time.Minute, time.Millisecond)
	return record
}

// awaitSilence waits until the relay has noticed that the back end is silent.
func awaitSilence(t *testing.T, record *backEnd) {
	t.Helper()
	require.Eventually(t, func() bool { return record.currentLoad(0).failures > 0 }, time.Minute, time.Millisecond)
}

// awaitIdleConnection waits until an idle connection may carry the next request. A client has its answer a moment before the
// connection is returned to the pool.
func (r *testRelay) awaitIdleConnection(t *testing.T, record *backEnd) {
	t.Helper()
	require.Eventually(t, func() bool { return record.pool.HasIdle(r.clock.now(), connpool.DefaultIdleLimit) }, time.Minute, time.Millisecond)
}

// shortTarget makes a relay notice the silence of a back end after the shortest time.
func shortTarget(config *serving.Route) { config.Target = minPlainStall / stallTargetFactor }

// Guards against requests that are sent, one after another, on connections that are silent for good while new ones work.
func TestNewRequestsUseNoConnectionFromBeforeASilence(t *testing.T) {
	t.Parallel()
	backEnd := startSilentBackEnd(t, "one", func(*silentBackEnd) script { return answering(200, "ok") })
	relay := newSilenceRelay(t, patient(shortTarget), backEnd)
	record := relay.openIdle(t, backEnd, 3)
	backEnd.loseConnections()
	lost := relay.client(t)
	lost.send("POST", "/path/", "lost")
	awaitSilence(t, record)
	for range 3 {
		require.Equal(t, 200, relay.client(t).do("POST", "/path/", "new").status)
		relay.awaitIdleConnection(t, record)
	}
	require.Len(t, backEnd.accepted(), 4, "the requests share one new connection")
	require.Equal(t, 502, lost.read().status)
}

// Guards against new connections to a back end that was silent and goes on: the idle connections from before are used again.
func TestConnectionsFromBeforeASilenceAreUsedAfterIt(t *testing.T) {
	t.Parallel()
	backEnd := startSilentBackEnd(t, "one", func(*silentBackEnd) script { return answering(200, "ok") })
	relay := newSilenceRelay(t, patient(shortTarget, safe), backEnd)
	record := relay.openIdle(t, backEnd, 3)
	first := relay.client(t)
	goOn := backEnd.stop()
	first.send("GET", "/path/", "")
	awaitSilence(t, record)
	require.False(t, record.pool.HasIdle(relay.clock.now(), connpool.DefaultIdleLimit))
	goOn()
	require.Equal(t, 200, first.read().status)
	require.True(t, record.pool.HasIdle(relay.clock.now(), connpool.DefaultIdleLimit))
	require.Equal(t, 200, relay.client(t).do("GET", "/path/", "").status)
	require.Len(t, backEnd.accepted(), 3)
}

// Guards against a request on a connection that was lost while it was idle, at a back end that answers on other connections
// and so is never silent: it waited until the kernel's timeout.
func TestRequestsUseNoConnectionThatWasLostWhileIdle(t *testing.T) {
	t.Parallel()
	backEnd := startSilentBackEnd(t, "one", func(*silentBackEnd) script { return answering(200, "ok") })
	relay := newSilenceRelay(t, patient(safe), backEnd)
	relay.openIdle(t, backEnd, 2)
	backEnd.loseConnections()
	time.Sleep(connpool.MaxConfirmationAge + probeDue/2) // the first probe is sent a second after the last segment
	require.Equal(t, 200, relay.client(t).do("GET", "/path/", "").status)
	require.Eventually(t, func() bool { return relay.connections.servingCount() == 0 }, time.Minute, time.Millisecond)
	require.Equal(t, 200, relay.client(t).do("GET", "/path/", "").status)
	require.Len(t, backEnd.accepted(), 3, "the requests share one new connection")
}

// Guards against an answer that is ended because another back end seems to be free, although that one stands still as well: it
// was connected to only after the end of the answer, and streams were cut.
func TestSilentBackEndKeepsItsAnswerWhileTheOthersStandStill(t *testing.T) {
	t.Parallel()
	for name, kind := range map[string]struct {
		change func(*serving.Route)
		answer func(connection net.Conn, request backEndRequest, standStill func())
		body   string
	}{
		"resumable stream": {stream(true), func(connection net.Conn, request backEndRequest, standStill func()) {
			head := strings.NewReplacer("ID", string(request.head.Peek("T-Id")), "SEAL", "seal").Replace(streamHead)
			_, _ = io.WriteString(connection, head+string(appendChunk(nil, []byte(eventOne))))
			standStill()
			_, _ = io.WriteString(connection, string(appendChunk(nil, []byte(eventTwo)))+"0\r\n\r\n")
		}, eventOne + eventTwo},
		"safe": {safe, func(connection net.Conn, request backEndRequest, standStill func()) {
			standStill()
			writeAnswer(connection, request, 200, "whole")
		}, "whole"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			other := startSilentBackEnd(t, "other", func(*silentBackEnd) script { return answering(200, "other") })
			backEnd := startSilentBackEnd(t, "one", func(machine *silentBackEnd) script {
				return func(connection net.Conn, request backEndRequest) bool {
					kind.answer(connection, request, func() {
						goOn := other.stop()
						defer goOn()
						machine.standStill(2 * time.Second)
					})
					return true
				}
			})
			relay := newSilenceRelay(t, route(kind.change), backEnd, other)
			relay.engineOf("other").addWork(placement.Work{Streams: 5}) // so that the one that falls silent is selected first
			answer := relay.client(t).do("GET", "/path/", "")
			require.Equal(t, 200, answer.status)
			require.True(t, answer.isComplete, "the answer was cut")
			require.Equal(t, kind.body, answer.body)
			require.Empty(t, other.receivedRequests())
		})
	}
}
