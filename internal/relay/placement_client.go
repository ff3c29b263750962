package relay

import (
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
	"github.com/hazelpitch/hazelpitch/internal/relay/peerhealth"
)

// laterAnswerSlack is how much longer than the announced wait the later answer of an owner may take.
const laterAnswerSlack = 100 * time.Millisecond

// Outcomes of placement queries; they are label values of a metric.
const (
	queryAnswered    = "answered"
	queryMissed      = "missed"
	queryStale       = "stale"
	queryDecidedHere = "decided_here"
	queryOwnCell     = "own_cell"
)

// placementClient queries the owners of cells for the engines on which this relay's requests run.
type placementClient struct {
	relay       *Relay
	datagrams   *datagram.Socket
	incarnation uint64
	peers       *peerhealth.Table
	queries     *datagram.Queries[*v1.PlacementAnswer]
}

func newPlacementClient(relay *Relay, datagrams *datagram.Socket, incarnation uint64, peers *peerhealth.Table) *placementClient {
	return &placementClient{relay: relay, datagrams: datagrams, incarnation: incarnation, peers: peers, queries: datagram.NewQueries[*v1.PlacementAnswer](datagrams)}
}

// otherOwners returns the other relays that receive notices about this relay's work at an engine.
func (a *placementClient) otherOwners(now time.Duration, engine *backEnd) []string {
	cells, index := a.relay.owners.current.Load().cellOf(engine)
	if cells == nil {
		return nil
	}
	trusted := a.trustedOwners(now, cells.owners[index], activeOwnersPerCell)
	return slices.DeleteFunc(trusted, func(owner string) bool { return owner == a.datagrams.Address })
}

// trustedOwners returns the first owners that answer queries, at most count, in their order.
func (a *placementClient) trustedOwners(now time.Duration, owners []string, count int) []string {
	trusted := make([]string, 0, count)
	for _, owner := range owners {
		if len(trusted) < count && (owner == a.datagrams.Address || a.peers.Trusted(now, owner)) {
			trusted = append(trusted, owner)
		}
	}
	return trusted
}

// deliver passes an answer to the query that waits for it.
func (a *placementClient) deliver(answer *v1.PlacementAnswer) {
	a.queries.Deliver(answer.GetNumber(), answer.GetRelay() == a.incarnation, answer)
}

// query queries one owner and waits for its answer. It returns false when no answer arrived in time, when the answer cannot
// be used, or when stop was closed.
func (a *placementClient) query(owner string, id uint64, query *engineQuery, stop <-chan struct{}) (engineAnswer, bool) {
	number, answers := a.queries.Open()
	defer a.queries.Close(number)
	sentAt := a.relay.clock.now()
	limit := a.peers.Timeout()
	a.datagrams.Send(owner, &v1.RelayDatagram{Content: &v1.RelayDatagram_Request{Request: queryToWire(query, a.incarnation, number, id)}})
	received := a.awaitAnswer(answers, limit, stop)
	if received == nil && isClosed(stop) { // the client has disconnected, which says nothing about the owner
		a.cancel(assignment{owner: owner, number: number})
		return engineAnswer{}, false
	}
	a.peers.RecordQuery(a.relay.clock.now(), owner, received != nil, a.relay.clock.now()-sentAt)
	for waits := 0; received != nil && received.GetAction() == v1.PlacementAction_PLACEMENT_ACTION_WAIT && waits <= a.relay.policy.MaxPrefillWaits; waits++ {
		a.relay.metrics.prefillWaits.Inc()
		received = a.awaitAnswer(answers, fromMicroseconds(received.GetWaitingUs())+laterAnswerSlack, stop)
	}
	if received == nil {
		a.relay.metrics.placementQueries.WithLabelValues(queryMissed).Inc()
		a.cancel(assignment{owner: owner, number: number})
		return engineAnswer{}, false
	}
	answer, valid := answerFromWire(received, a.relay.view.Load(), query.excludes, a.relay.clock.now())
	if !valid {
		a.relay.metrics.placementQueries.WithLabelValues(queryStale).Inc()
		a.cancel(assignment{owner: owner, number: number})
		return engineAnswer{}, false
	}
	a.relay.metrics.placementQueries.WithLabelValues(queryAnswered).Inc()
	if answer.chosen != nil {
		answer.chosen.assignment = assignment{owner: owner, number: number}
		a.relay.pace.adopt(answer.chosen.backEnd.hash, answer.chosen.timePerToken)
	}
	return answer, true
}

// awaitAnswer waits for an answer; it returns nil when none arrives within the limit or stop is closed.
func (a *placementClient) awaitAnswer(answers <-chan *v1.PlacementAnswer, limit time.Duration, stop <-chan struct{}) *v1.PlacementAnswer {
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

// cancel tells an owner that a query is cancelled, or that its answer is not used.
func (a *placementClient) cancel(assigned assignment) {
	if assigned.owner == "" {
		return
	}
	a.datagrams.Send(assigned.owner, &v1.RelayDatagram{Content: &v1.RelayDatagram_Cancel{Cancel: &v1.PlacementCancel{
		Relay: a.incarnation, Number: assigned.number,
	}}})
}
