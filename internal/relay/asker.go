package relay

import (
	"slices"
	"sync"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/cell"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
)

const (
	// openAnswers is how many answers to one question may wait to be read.
	openAnswers = 4
	// furtherAnswerSlack is how much longer than an owner told its further answer may take.
	furtherAnswerSlack = 100 * time.Millisecond
)

// Outcomes of questions, as metrics name them.
const (
	askedAnswered = "answered"
	askedMissed   = "missed"
	askedStale    = "stale"
	askedNobody   = "decided_here"
	askedOwn      = "own_cell"
)

// asker asks the owners of cells where this relay's requests run.
type asker struct {
	relay     *Relay
	datagrams *datagram.Socket
	self      uint64

	mutex  sync.Mutex
	number uint64
	// open are the questions that wait for answers.
	open   map[uint64]chan *v1.PlacementAnswer
	health *cell.Health
}

func newAsker(relay *Relay, datagrams *datagram.Socket, self uint64) *asker {
	return &asker{relay: relay, datagrams: datagrams, self: self, open: map[uint64]chan *v1.PlacementAnswer{}, health: cell.NewHealth()}
}

// setRelays forgets what is known of relays that are not listed.
func (a *asker) setRelays(listed map[string]bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.health.Keep(func(relay string) bool { return listed[relay] })
}

// owners are the other relays that are to know of the work at an engine.
func (a *asker) owners(now time.Duration, engine *backEnd) []string {
	known, index := a.relay.owners.current.Load().of(engine)
	if known == nil {
		return nil
	}
	trusted := a.trusted(now, known.owners[index], ownersOfCell)
	return slices.DeleteFunc(trusted, func(owner string) bool { return owner == a.datagrams.Address })
}

// trusted returns up to count of the owners that answer, in their order.
func (a *asker) trusted(now time.Duration, owners []string, count int) []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	trusted := make([]string, 0, count)
	for _, owner := range owners {
		if len(trusted) < count && (owner == a.datagrams.Address || a.health.Trusted(now, owner)) {
			trusted = append(trusted, owner)
		}
	}
	return trusted
}

// take hands an answer to the question that waits for it.
func (a *asker) take(answer *v1.PlacementAnswer) {
	a.mutex.Lock()
	waiting := a.open[answer.GetNumber()]
	a.mutex.Unlock()
	if waiting == nil || answer.GetRelay() != a.self {
		a.datagrams.Drop(datagram.NotExpected)
		return
	}
	select {
	case waiting <- answer:
	default:
		a.datagrams.Drop(datagram.TooMany)
	}
}

// begin numbers a question.
func (a *asker) begin() (number uint64, answers chan *v1.PlacementAnswer) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.number++
	answers = make(chan *v1.PlacementAnswer, openAnswers)
	a.open[a.number] = answers
	return a.number, answers
}

// end forgets a question.
func (a *asker) end(number uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.open, number)
}

// timeout is how long an answer is awaited now.
func (a *asker) timeout() time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.health.Timeout()
}

// judge notes whether an owner has answered in time.
func (a *asker) judge(owner string, answered bool, took time.Duration) {
	a.mutex.Lock()
	doubted := false
	if answered {
		a.health.Answered(owner, took)
	} else {
		doubted = a.health.Missed(a.relay.clock.now(), owner)
	}
	a.mutex.Unlock()
	if doubted {
		a.relay.event(events.OwnerDoubted).Str("owner", owner).Int64("waited_ms", took.Milliseconds()).Send()
	}
}

// ask asks one owner. It reports false when no answer came that can be followed. stop ends the
// wait for it.
func (a *asker) ask(owner string, id uint64, query *engineQuery, stop <-chan struct{}) (engineAnswer, bool) {
	number, answers := a.begin()
	defer a.end(number)
	asked := a.relay.clock.now()
	limit := a.timeout()
	a.datagrams.Send(owner, &v1.RelayDatagram{Content: &v1.RelayDatagram_Request{Request: queryToWire(query, a.self, number, id)}})
	told := a.await(answers, limit, stop)
	if told == nil && isClosed(stop) { // the client has gone: that says nothing of the owner
		a.cancel(assignment{owner: owner, number: number})
		return engineAnswer{}, false
	}
	a.judge(owner, told != nil, a.relay.clock.now()-asked)
	for waits := 0; told != nil && told.GetAction() == v1.PlacementAction_PLACEMENT_ACTION_WAIT && waits <= a.relay.policy.MostWaits; waits++ {
		a.relay.metrics.waits.Inc()
		told = a.await(answers, fromMicroseconds(told.GetWaitingUs())+furtherAnswerSlack, stop)
	}
	if told == nil {
		a.relay.metrics.asked.WithLabelValues(askedMissed).Inc()
		a.cancel(assignment{owner: owner, number: number})
		return engineAnswer{}, false
	}
	answer, valid := answerFromWire(told, a.relay.view.Load(), query.excludes, a.relay.clock.now())
	if !valid {
		a.relay.metrics.asked.WithLabelValues(askedStale).Inc()
		a.cancel(assignment{owner: owner, number: number})
		return engineAnswer{}, false
	}
	a.relay.metrics.asked.WithLabelValues(askedAnswered).Inc()
	if answer.chosen != nil {
		answer.chosen.assigned = assignment{owner: owner, number: number}
		a.relay.pace.learn(answer.chosen.backEnd.hash, answer.chosen.perToken)
	}
	return answer, true
}

// await waits for an answer; nil when none comes in time.
func (a *asker) await(answers <-chan *v1.PlacementAnswer, limit time.Duration, stop <-chan struct{}) *v1.PlacementAnswer {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer
	case <-timer.C:
		return nil
	case <-stop:
		return nil
	}
}

func isClosed(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

// cancel tells an owner that a question is void, or its answer not followed.
func (a *asker) cancel(assigned assignment) {
	if assigned.owner == "" {
		return
	}
	a.datagrams.Send(assigned.owner, &v1.RelayDatagram{Content: &v1.RelayDatagram_Cancel{Cancel: &v1.PlacementCancel{
		Relay: a.self, Number: assigned.number,
	}}})
}
