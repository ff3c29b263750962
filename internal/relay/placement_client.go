package relay

import (
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
	"github.com/hazelpitch/hazelpitch/internal/relay/peerhealth"
)

// laterAnswerSlack is how much longer an owner's decision may take than the wait that the owner's first answer announced.
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
func (c *placementClient) otherOwners(now time.Duration, engine *backEnd) []string {
	cells, index := c.relay.owners.current.Load().cellOf(engine)
	if cells == nil {
		return nil
	}
	trusted := c.trustedOwners(now, cells.owners[index], activeOwnersPerCell)
	return slices.DeleteFunc(trusted, func(owner string) bool { return owner == c.datagrams.Address })
}

// trustedOwners returns the first of the given owners, at most count, without relays that recently left consecutive queries
// unanswered.
func (c *placementClient) trustedOwners(now time.Duration, owners []string, count int) []string {
	trusted := make([]string, 0, count)
	for _, owner := range owners {
		if len(trusted) < count && (owner == c.datagrams.Address || c.peers.Trusted(now, owner)) {
			trusted = append(trusted, owner)
		}
	}
	return trusted
}

// deliver passes an answer to the query that waits for it.
func (c *placementClient) deliver(answer *v1.PlacementAnswer) {
	c.queries.Deliver(answer.GetNumber(), answer.GetRelay() == c.incarnation, answer)
}

// query sends a query to one owner of the cell with the given identity and waits for the answer. It returns false when no
// answer arrived in time, when the answer cannot be used, or when stop was closed.
func (c *placementClient) query(owner string, id uint64, query *engineQuery, stop <-chan struct{}) (engineAnswer, bool) {
	number, answers := c.queries.Open()
	defer c.queries.Close(number)
	sentAt := c.relay.clock.now()
	limit := c.peers.Timeout()
	c.datagrams.Send(owner, &v1.RelayDatagram{Content: &v1.RelayDatagram_Request{Request: queryToWire(query, c.incarnation, number, id)}})
	received := c.awaitAnswer(answers, limit, stop)
	if received == nil && isClosed(stop) { // the client has disconnected, which says nothing about the owner
		c.cancel(assignment{owner: owner, number: number})
		return engineAnswer{}, false
	}
	c.peers.RecordQuery(c.relay.clock.now(), owner, received != nil, c.relay.clock.now()-sentAt)
	for waits := 0; received != nil && received.GetAction() == v1.PlacementAction_PLACEMENT_ACTION_WAIT && waits <= c.relay.policy.MaxPrefillWaits; waits++ {
		c.relay.metrics.prefillWaits.Inc()
		received = c.awaitAnswer(answers, fromMicroseconds(received.GetWaitingUs())+laterAnswerSlack, stop)
	}
	if received == nil {
		c.relay.metrics.placementQueries.WithLabelValues(queryMissed).Inc()
		c.cancel(assignment{owner: owner, number: number})
		return engineAnswer{}, false
	}
	answer, valid := answerFromWire(received, c.relay.view.Load(), query.excludes, c.relay.clock.now())
	if !valid {
		c.relay.metrics.placementQueries.WithLabelValues(queryStale).Inc()
		c.cancel(assignment{owner: owner, number: number})
		return engineAnswer{}, false
	}
	c.relay.metrics.placementQueries.WithLabelValues(queryAnswered).Inc()
	if answer.selection != nil {
		answer.selection.assignment = assignment{owner: owner, number: number}
		c.relay.prefillSpeed.adopt(answer.selection.backEnd.hash, answer.selection.timePerToken)
	}
	return answer, true
}

// awaitAnswer waits for an answer; it returns nil when none arrives within the limit or stop is closed.
func (c *placementClient) awaitAnswer(answers <-chan *v1.PlacementAnswer, limit time.Duration, stop <-chan struct{}) *v1.PlacementAnswer {
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

// cancel notifies an owner that a query is cancelled, or that its answer is not used.
func (c *placementClient) cancel(assigned assignment) {
	if assigned.owner == "" {
		return
	}
	c.datagrams.Send(assigned.owner, &v1.RelayDatagram{Content: &v1.RelayDatagram_Cancel{Cancel: &v1.PlacementCancel{
		Relay: c.incarnation, Number: assigned.number,
	}}})
}
