package control

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

func callsOf(watches []*waitingWatch) (calls []CallID) {
	for _, waited := range watches {
		calls = append(calls, waited.call)
	}
	return calls
}

// Questions are found when their time has passed, in its order, whatever the order in which they came.
func TestWaitingWatchesAreTakenAsTheyAreDue(t *testing.T) {
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
	var taken []time.Duration
	for now := time.Duration(0); now < time.Second; now += 7 * time.Millisecond {
		for _, waited := range waiting.popDue(now) {
			require.LessOrEqual(t, waited.dueAt, now)
			require.Greater(t, waited.dueAt, now-7*time.Millisecond)
			taken = append(taken, waited.dueAt)
		}
	}
	require.Equal(t, due[:len(taken)], taken)
	require.Len(t, waiting.byDue, count-len(taken))
}

// News is told to so many at a time, and those whom it does not concern go on waiting.
func TestWaitingWatchesThatHaveNews(t *testing.T) {
	waiting := waitingWatches{}
	for number := range 9 {
		waiting.addWaiting(&waitingWatch{call: CallID(number), request: &v1.WatchRequest{DocumentNumber: uint64(number % 3)}, dueAt: time.Duration(9-number) * time.Second})
	}
	old := func(request *v1.WatchRequest) bool { return request.GetDocumentNumber() < 2 }
	allowed := 2
	more := func() bool { allowed--; return allowed >= 0 }
	waiting.markAllReady()
	require.Equal(t, []CallID{7, 6}, callsOf(waiting.popReady(0, old, more)), "those that have waited longest are told first")
	require.Equal(t, []CallID{4}, callsOf(waiting.popReady(5*time.Second, old, more)), "one whose time has passed is told all the same")
	allowed = 100
	require.Equal(t, []CallID{3, 1, 0}, callsOf(waiting.popReady(0, old, more)))
	require.Empty(t, waiting.ready)
	require.Equal(t, []CallID{8, 5, 2}, callsOf(waiting.popDue(time.Minute)))
}

// A relay that has given up a question and asks again is answered once, and before others have had to wait for
// an answer that reaches nobody.
func TestQuestionsThatWereGivenUpAreNotAnswered(t *testing.T) {
	waiting := waitingWatches{}
	ask := func(call CallID, start uint64) {
		watch := &waitingWatch{call: call, request: &v1.WatchRequest{Node: &v1.NodeIdentity{Incarnation: start}}, dueAt: time.Second}
		waiting.register(watch)
		waiting.addReady(watch)
	}
	for number := range 10 {
		ask(CallID(number), uint64(number%2+1))
	}
	ask(10, 0)
	told := 0
	more := func() bool { told++; return true }
	always := func(*v1.WatchRequest) bool { return true }
	require.Equal(t, []CallID{8, 9, 10}, callsOf(waiting.popReady(0, always, more)))
	require.Equal(t, 3, told)
	require.Empty(t, waiting.latest)

	ask(11, 1)
	waiting.popReady(0, func(*v1.WatchRequest) bool { return false }, more)
	ask(12, 1)
	require.Equal(t, []CallID{12}, callsOf(waiting.popReady(0, always, more)))
	require.Empty(t, waiting.popDue(time.Minute))
	require.Empty(t, waiting.latest)
}
