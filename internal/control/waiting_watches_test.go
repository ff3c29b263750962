package control

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

func callIDs(watches []*waitingWatch) (calls []CallID) {
	for _, waited := range watches {
		calls = append(calls, waited.call)
	}
	return calls
}

// Watches are returned when they are due, the first due first, whatever the order in which they arrived.
func TestWaitingWatchesArePoppedInDueOrder(t *testing.T) {
	const count = 2000
	random := rand.New(rand.NewPCG(1, 2))
	waiting := waitingWatches{}
	var due []time.Duration
	for number := range count {
		at := time.Duration(random.IntN(1000)) * time.Millisecond
		due = append(due, at)
		waiting.addWaiting(&waitingWatch{call: CallID(number), request: &v1.WatchRequest{}, dueAt: at})
	}
	slices.Sort(due)
	var popped []time.Duration
	for now := time.Duration(0); now < time.Second; now += 7 * time.Millisecond {
		for _, waited := range waiting.popDue(now) {
			require.LessOrEqual(t, waited.dueAt, now)
			require.Greater(t, waited.dueAt, now-7*time.Millisecond)
			popped = append(popped, waited.dueAt)
		}
	}
	require.Equal(t, due[:len(popped)], popped)
	require.Len(t, waiting.byDue, count-len(popped))
}

// Watches with an update are returned as the pace allows; watches without an update keep waiting.
func TestReadyWatchesArePoppedWithinThePace(t *testing.T) {
	waiting := waitingWatches{}
	for number := range 9 {
		waiting.addWaiting(&waitingWatch{call: CallID(number), request: &v1.WatchRequest{DocumentNumber: uint64(number % 3)}, dueAt: time.Duration(9-number) * time.Second})
	}
	old := func(request *v1.WatchRequest) bool { return request.GetDocumentNumber() < 2 }
	allowed := 2
	mayAnswer := func() bool { allowed--; return allowed >= 0 }
	waiting.markAllReady()
	require.Equal(t, []CallID{7, 6}, callIDs(waiting.popReady(0, old, mayAnswer)), "the watches that are due first come first")
	require.Equal(t, []CallID{4}, callIDs(waiting.popReady(5*time.Second, old, mayAnswer)), "a due watch is returned beyond the pace")
	allowed = 100
	require.Equal(t, []CallID{3, 1, 0}, callIDs(waiting.popReady(0, old, mayAnswer)))
	require.Empty(t, waiting.ready)
	require.Equal(t, []CallID{8, 5, 2}, callIDs(waiting.popDue(time.Minute)))
}

// A relay that gives up a watch and sends another one is answered once. Watches that were given up must not use up the
// pace, because nothing receives their answers.
func TestQuestionsThatWereGivenUpAreNotAnswered(t *testing.T) {
	waiting := waitingWatches{}
	watch := func(call CallID, start uint64) {
		watch := &waitingWatch{call: call, request: &v1.WatchRequest{Node: &v1.NodeIdentity{Incarnation: start}}, dueAt: time.Second}
		waiting.register(watch)
		waiting.addReady(watch)
	}
	for number := range 10 {
		watch(CallID(number), uint64(number%2+1))
	}
	watch(10, 0)
	answered := 0
	mayAnswer := func() bool { answered++; return true }
	always := func(*v1.WatchRequest) bool { return true }
	require.Equal(t, []CallID{8, 9, 10}, callIDs(waiting.popReady(0, always, mayAnswer)))
	require.Equal(t, 3, answered)
	require.Empty(t, waiting.latest)

	watch(11, 1)
	waiting.popReady(0, func(*v1.WatchRequest) bool { return false }, mayAnswer)
	watch(12, 1)
	require.Equal(t, []CallID{12}, callIDs(waiting.popReady(0, always, mayAnswer)))
	require.Empty(t, waiting.popDue(time.Minute))
	require.Empty(t, waiting.latest)
}
