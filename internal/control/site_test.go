package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/packed"
)

func (w *testCluster) putDocument(controller *testController, number uint64, content string) Answer {
	w.t.Helper()
	return w.call(controller, func(id CallID) Input {
		return PutDocumentReceived{Call: id, Document: &v1.Document{Number: number, Content: []byte(content)}}
	})
}

func (w *testCluster) readDocument(controller *testController) Answer {
	w.t.Helper()
	return w.call(controller, func(id CallID) Input { return ReadDocumentReceived{Call: id} })
}

func TestHighestDocumentIsInForce(t *testing.T) {
	w := newTestCluster(t, 5, withSeeds)
	newSite(w, 0, 0)
	leader := w.waitLeader()
	require.NoError(t, w.putDocument(leader, 7, "seven").Err)
	require.NoError(t, w.putDocument(leader, 7, "other content").Err, "a resend is acknowledged")
	require.NoError(t, w.putDocument(leader, 3, "three").Err, "a document with a lower number is acknowledged")
	read := w.readDocument(leader)
	require.NoError(t, read.Err)
	require.Equal(t, "seven", string(read.Response.(*v1.Document).GetContent()))
	for _, name := range w.names {
		if controller := w.controllers[name]; controller != leader {
			var notLeader *NotLeaderError
			require.ErrorAs(t, w.readDocument(controller).Err, &notLeader)
			require.Equal(t, leader.name, notLeader.Leader)
		}
	}
}

func TestAcknowledgedDocumentSurvivesPowerLoss(t *testing.T) {
	w := newTestCluster(t, 5, withSeeds)
	newSite(w, 0, 0)
	require.NoError(t, w.putDocument(w.waitLeader(), 9, "kept").Err)
	for _, name := range w.names {
		w.crash(name)
	}
	for _, name := range w.names {
		w.start(name)
	}
	read := w.readDocument(w.waitLeader())
	require.NoError(t, read.Err)
	require.Equal(t, "kept", string(read.Response.(*v1.Document).GetContent()))
}

// A leader that is cut off must neither acknowledge documents nor answer reads once its lease has expired.
func TestCutOffLeaderNeitherReadsNorAcknowledges(t *testing.T) {
	w := newTestCluster(t, 5, withSeeds)
	newSite(w, 0, 0)
	former := w.waitLeader()
	require.NoError(t, w.putDocument(former, 1, "one").Err)
	former.cut = true
	w.until("another leader", func() bool { leader := w.leader(); return leader != nil && leader != former })
	require.NoError(t, w.putDocument(w.leader(), 2, "two").Err)
	require.Error(t, w.readDocument(former).Err)
	require.Error(t, w.putDocument(former, 3, "three").Err)
}

// wholeListing returns the list of a response that holds the whole list.
func wholeListing(t *testing.T, response *v1.WatchResponse) []*v1.ListedBackEnd {
	t.Helper()
	listing := &v1.Listing{}
	require.NoError(t, packed.Unpack(response.GetPackedListing(), listing))
	return listing.GetBackEnds()
}

func TestWatchIsAnsweredAtOnceWhenThereIsAnUpdate(t *testing.T) {
	w := newTestCluster(t, 3, withSeeds)
	newSite(w, 4, 2)
	leader := w.waitLeader()
	w.run(2 * time.Second)
	watch := func(request *v1.WatchRequest) CallID {
		request.Node = &v1.NodeIdentity{Name: "relay-1"}
		return w.send(leader, func(id CallID) Input { return WatchReceived{Call: id, Request: request} })
	}
	first := w.answers[watch(&v1.WatchRequest{WaitMs: 400})].Response.(*v1.WatchResponse)
	require.Len(t, wholeListing(t, first), 4)
	require.False(t, first.GetBehind())

	waiting := watch(&v1.WatchRequest{WaitMs: 400, ListingVersion: first.GetListingVersion()})
	_, answered := w.answers[waiting]
	require.False(t, answered, "there is no update")
	require.NoError(t, w.putDocument(leader, 5, "five").Err)
	response := w.answers[waiting].Response.(*v1.WatchResponse)
	document := &v1.Document{}
	require.NoError(t, packed.Unpack(response.GetPackedDocument(), document))
	require.Equal(t, uint64(5), document.GetNumber())
	require.Empty(t, response.GetPackedListing())
	require.Nil(t, response.GetListingChange())

	idle := watch(&v1.WatchRequest{WaitMs: 400, ListingVersion: first.GetListingVersion(), DocumentNumber: 5})
	w.run(450 * time.Millisecond)
	require.Empty(t, w.answers[idle].Response.(*v1.WatchResponse).GetPackedDocument())

	for _, name := range w.names {
		if controller := w.controllers[name]; controller != leader {
			answer := w.call(controller, func(id CallID) Input { return WatchReceived{Call: id, Request: &v1.WatchRequest{WaitMs: 400}} })
			require.True(t, answer.Response.(*v1.WatchResponse).GetBehind())
			require.Equal(t, leader.name, answer.Response.(*v1.WatchResponse).GetLeaderAddress())
		}
	}
}

// The list of back ends shows an engine's role change with a delay. After the leader has ordered an engine to change its
// role, it must not order that engine back to the former role before the list shows the change.
func TestStagesSettleThoughTheListLags(t *testing.T) {
	w := newTestCluster(t, 3, withSeeds)
	site := newSite(w, 18, 7)
	w.waitLeader()
	w.run(20 * time.Second)
	require.Equal(t, 12, site.prefill())
	require.Equal(t, 5, site.orders)
}

func TestLostAnswersOfStageOrdersAreSettledByTheList(t *testing.T) {
	w := newTestCluster(t, 3, withSeeds)
	site := newSite(w, 18, 7)
	site.lose = true
	w.waitLeader()
	w.run(30 * time.Second)
	require.Equal(t, 12, site.prefill())
	require.LessOrEqual(t, site.orders, 10)
}

// A leader whose fence is too low must not order an engine twice.
func TestFencedOrdersAreNotRepeated(t *testing.T) {
	w := newTestCluster(t, 3, withSeeds)
	site := newSite(w, 18, 7)
	site.fenced = true
	w.waitLeader()
	w.run(time.Minute)
	require.Zero(t, site.orders)
	require.Positive(t, site.ordersReceived)
	require.LessOrEqual(t, site.ordersReceived, 18, "each engine gets at most one order")
}

func TestNewLeaderWaitsBeforeItsFirstOrder(t *testing.T) {
	w := newTestCluster(t, 3, withSeeds)
	site := newSite(w, 18, 7)
	w.waitLeader()
	w.run(2 * time.Second)
	require.Zero(t, site.orders)
}

// Two documents are proposed concurrently, the lower number last: the one with the highest number is in force.
func TestHighestOfConcurrentDocumentsIsInForce(t *testing.T) {
	w := newTestCluster(t, 3, withSeeds)
	newSite(w, 0, 0)
	leader := w.waitLeader()
	put := func(number uint64) CallID {
		return w.send(leader, func(id CallID) Input {
			return PutDocumentReceived{Call: id, Document: &v1.Document{Number: number, Content: []byte{byte(number)}}}
		})
	}
	higher, lower := put(9), put(7)
	w.run(time.Second)
	require.NoError(t, w.answers[higher].Err)
	require.NoError(t, w.answers[lower].Err)
	require.Equal(t, uint64(9), w.readDocument(leader).Response.(*v1.Document).GetNumber())
}

// Engines that do not check fences accept an order of a former leader whenever it arrives. However long its orders
// are in transit, none may arrive after the next leader's first order or less than minimumOrderGap before it.
func TestOrdersOfAFormerLeaderDoNotOverlapItsSuccessors(t *testing.T) {
	for _, transitDelay := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 4 * time.Second, 8 * time.Second} {
		t.Run(transitDelay.String(), func(t *testing.T) {
			w := newTestCluster(t, 5, withSeeds)
			site := newSite(w, 18, 0)
			site.transitDelay = transitDelay
			former := w.waitLeader()
			w.run(minimumOrderGap + testOrderLifetime + time.Second) // its first orders are in flight
			former.cut = true
			w.until("another leader", func() bool { leader := w.leader(); return leader != nil && leader != former })
			site.transitDelay = 0
			w.run(20 * time.Second)
			require.NotEmpty(t, site.arrivals)
			for index, next := range site.arrivals[1:] {
				previous := site.arrivals[index]
				require.GreaterOrEqual(t, next.order.Fence, previous.order.Fence)
				if next.order.Holder != previous.order.Holder {
					require.Greater(t, next.order.Fence, previous.order.Fence)
					require.GreaterOrEqual(t, next.at-previous.at, minimumOrderGap)
				}
			}
		})
	}
}
