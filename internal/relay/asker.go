package relay

import (
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
	"github.com/hazelpitch/hazelpitch/internal/relay/peerhealth"
)

// furtherAnswerSlack is how much longer than an owner told its further answer may take.
const furtherAnswerSlack = 100 * time.Millisecond

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
	peers     *peerhealth.Table
	questions *datagram.Queries[*v1.PlacementAnswer]
}

func newAsker(relay *Relay, datagrams *datagram.Socket, self uint64, peers *peerhealth.Table) *asker {
	return &asker{relay: relay, datagrams: datagrams, self: self, peers: peers, questions: datagram.NewQueries[*v1.PlacementAnswer](datagrams)}
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
	trusted := make([]string, 0, count)
	for _, owner := range owners {
		if len(trusted) < count && (owner == a.datagrams.Address || a.peers.Trusted(now, owner)) {
			trusted = append(trusted, owner)
		}
	}
	return trusted
}

// take hands an answer to the question that waits for it.
func (a *asker) take(answer *v1.PlacementAnswer) {
	a.questions.Deliver(answer.GetNumber(), answer.GetRelay() == a.self, answer)
}

// ask asks one owner. It reports false when no answer came that can be followed. stop ends the
// wait for it.
func (a *asker) ask(owner string, id uint64, query *engineQuery, stop <-chan struct{}) (engineAnswer, bool) {
	number, answers := a.questions.Open()
	defer a.questions.Close(number)
	asked := a.relay.clock.now()
	limit := a.peers.Timeout()
	a.datagrams.Send(owner, &v1.RelayDatagram{Content: &v1.RelayDatagram_Request{Request: queryToWire(query, a.self, number, id)}})
	told := a.await(answers, limit, stop)
	if told == nil && isClosed(stop) { // the client has gone: that says nothing of the owner
		a.cancel(assignment{owner: owner, number: number})
		return engineAnswer{}, false
	}
	a.peers.RecordQuery(a.relay.clock.now(), owner, told != nil, a.relay.clock.now()-asked)
	for waits := 0; told != nil && told.GetAction() == v1.PlacementAction_PLACEMENT_ACTION_WAIT && waits <= a.relay.policy.MaxPrefillWaits; waits++ {
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
