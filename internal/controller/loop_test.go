package controller

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/control"
)

// scriptedCore records its inputs and answers each with the outputs of respond.
type scriptedCore struct {
	inputs  []control.Input
	respond func(input control.Input) []control.Output
}

func (s *scriptedCore) Step(_ time.Duration, input control.Input) []control.Output {
	if _, tick := input.(control.Tick); tick {
		return nil
	}
	s.inputs = append(s.inputs, input)
	if s.respond == nil {
		return nil
	}
	return s.respond(input)
}

// slowWriter takes a second for each sync and records the number of batches in it.
type slowWriter struct{ groups []int }

func (s *slowWriter) Write(batches []control.Persist) error {
	time.Sleep(time.Second)
	s.groups = append(s.groups, len(batches))
	return nil
}

func startLoop(t *testing.T, core stepper) *loop {
	origin := time.Now()
	loop := newLoop(core, func() time.Duration { return time.Since(origin) })
	go loop.run(t.Context())
	return loop
}

func TestBatchesQueuedDuringASyncShareTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		batch := uint64(0)
		core := &scriptedCore{respond: func(input control.Input) []control.Output {
			if _, isSync := input.(control.SyncReceived); !isSync {
				return nil
			}
			batch++
			return []control.Output{control.Persist{Batch: batch}}
		}}
		loop := startLoop(t, core)
		writer := &slowWriter{}
		go func() {
			_ = (&syncer{writer: writer, loop: loop, observe: func(int, time.Duration) {}}).run(t.Context())
		}()

		require.NoError(t, loop.send(t.Context(), control.SyncReceived{}))
		synctest.Wait()
		for range 9 {
			require.NoError(t, loop.send(t.Context(), control.SyncReceived{}))
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.Equal(t, []int{1, 9}, writer.groups)
		require.Equal(t, control.Persisted{Batch: 10}, core.inputs[len(core.inputs)-1])
	})
}

func TestPeerMessagesPrecedeCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := &scriptedCore{}
		loop := newLoop(core, func() time.Duration { return 0 })
		for range 100 {
			require.NoError(t, loop.send(t.Context(), control.SyncReceived{}))
		}
		for range 100 {
			require.True(t, loop.sendPeerMessage(control.PeerMessage{}))
		}
		go loop.run(t.Context())
		synctest.Wait()
		require.Len(t, core.inputs, 200)
		for _, input := range core.inputs[:100] {
			require.IsType(t, control.PeerMessage{}, input)
		}
	})
}

// Guards against a controller that never writes its vote, so that none is cast, while messages of its peers arrive as fast as it
// processes them.
func TestBatchesAreWrittenWhilePeerMessagesArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stepTime, writtenBy = time.Millisecond, 10 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		var writtenAt time.Duration
		core := &scriptedCore{}
		core.respond = func(control.Input) []control.Output {
			time.Sleep(stepTime)
			if len(core.inputs) == 1 {
				return []control.Output{control.Persist{Batch: 1}}
			}
			return nil
		}
		origin := time.Now()
		loop := newLoop(core, func() time.Duration { return time.Since(origin) })
		var running sync.WaitGroup
		running.Go(func() { loop.run(ctx) })
		running.Go(func() {
			select {
			case <-loop.persist:
				writtenAt = loop.now()
			case <-ctx.Done():
			}
		})
		running.Go(func() {
			for ctx.Err() == nil {
				loop.sendPeerMessage(control.PeerMessage{})
				time.Sleep(stepTime / 2)
			}
		})
		time.Sleep(time.Second)
		cancel()
		running.Wait()
		require.NotZero(t, writtenAt, "the batch waits while messages arrive")
		require.LessOrEqual(t, writtenAt, writtenBy)
	})
}

func TestFullQueues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop := newLoop(&scriptedCore{}, func() time.Duration { return 0 })
		for range peerQueueSize {
			require.True(t, loop.sendPeerMessage(control.PeerMessage{}))
		}
		require.False(t, loop.sendPeerMessage(control.PeerMessage{}), "a peer's message is refused")

		for range inputQueueSize {
			require.NoError(t, loop.send(t.Context(), control.SyncReceived{}))
		}
		limited, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, loop.send(limited, control.SyncReceived{}), context.DeadlineExceeded, "a call waits until its deadline")
	})
}

func TestCallsGetTheirOwnAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := newCalls()
		core := &scriptedCore{}
		loop := startLoop(t, core)
		results := make(chan string, 2)
		for _, name := range []string{"first", "second"} {
			go func() {
				message, err := calls.do(t.Context(), loop, func(call control.CallID) control.Input {
					return control.SyncReceived{Call: call, Request: &v1.SyncRequest{Node: &v1.NodeIdentity{Name: name}}}
				})
				if err == nil {
					results <- name + "=" + message.(*v1.SyncResponse).GetLeaderAddress()
				}
			}()
		}
		synctest.Wait()
		for index := len(core.inputs) - 1; index >= 0; index-- {
			received := core.inputs[index].(control.SyncReceived)
			name := received.Request.GetNode().GetName()
			calls.answer(control.Answer{Call: received.Call, Response: &v1.SyncResponse{LeaderAddress: name}})
			calls.answer(control.Answer{Call: received.Call, Response: &v1.SyncResponse{LeaderAddress: "late"}})
		}
		require.ElementsMatch(t, []string{"first=first", "second=second"}, []string{<-results, <-results})
		require.Empty(t, calls.pending)
	})
}

func TestCallsAreBounded(t *testing.T) {
	calls := newCalls()
	for range maxPendingCalls {
		_, _, err := calls.register()
		require.NoError(t, err)
	}
	_, _, err := calls.register()
	require.ErrorContains(t, err, "try again later")
	calls.unregister(1)
	_, _, err = calls.register()
	require.NoError(t, err)
}
