package slots

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
	"github.com/hazelpitch/hazelpitch/internal/returnplan"
	"github.com/hazelpitch/hazelpitch/internal/slotqueue"
)

// What one relay encodes by its clock must arrive unchanged at another relay with another clock.
func TestMessagesKeepTheirContent(t *testing.T) {
	const here, there = 5 * time.Second, time.Hour
	id := slotqueue.RequestID{Relay: 3, Number: 9}
	request := Request{
		Service: service, Level: 2, Tenant: 5, TargetAt: here + 300*time.Millisecond, DeadlineAt: here + time.Second,
		Signature: 7, Excluded: []uint64{1, 2}, MayHaveRun: true,
	}
	require.Equal(t, slotqueue.Request{
		ID: id, Level: 2, Tenant: 5, TargetAt: there + 300*time.Millisecond, DeadlineAt: there + time.Second,
		Signature: 7, Excluded: []uint64{1, 2}, MayHaveRun: true,
	}, requestFromWire(requestToWire(&request, id, here), there))

	report := slotqueue.Report{
		Relay: 3, Sequence: 4, AnsweredUpTo: 8, Held: []slotqueue.Held{{Number: 7, BackEnd: 1}},
		Released: map[uint64]slotqueue.Result{6: {ServiceTime: 20 * time.Millisecond, Slowdown: 2.5, TurnedAway: true}},
	}
	require.Equal(t, report, reportFromWire(reportToWire(service, report)))

	promise := returnplan.Promise{Signature: 7, Tenant: 5, Level: 2, DueAt: here + 400*time.Millisecond}
	received := promiseFromWire(promiseToWire(returnplan.Change{Promise: promise, Redeemed: true}, here), there)
	promise.DueAt = there + 400*time.Millisecond
	require.Equal(t, returnplan.Change{Promise: promise, Redeemed: true}, received)
}

// A datagram that is too large is not sent, so that a full report or a full batch of promises must fit.
func TestFullDatagramsFit(t *testing.T) {
	const largeNumber, name = 1 << 34, "a-service-whose-name-has-as-many-as-sixty-three-characters-in-all"
	holding := newServiceHoldings()
	var sequence uint64 = largeNumber
	for index := range uint64(100) {
		holding.begin(largeNumber + index)
		delete(holding.pending, largeNumber+index)
		holding.held[largeNumber+index] = index
	}
	for index := range uint64(40) {
		holding.release(largeNumber+index, slotqueue.Result{ServiceTime: 5 * time.Second, Slowdown: 99, TurnedAway: true})
	}
	reports := holding.takeReports(false, &sequence)
	require.Len(t, reports, 3)
	for _, report := range reports {
		report.Relay = 1 << 63
		require.LessOrEqual(t, report.AnsweredUpTo, uint64(largeNumber+99))
		require.LessOrEqual(t, proto.Size(&v1.RelayDatagram{Format: datagram.Format, Content: &v1.RelayDatagram_SlotReport{SlotReport: reportToWire(name, report)}}), datagram.MaxSize)
	}
	promises := &v1.SlotPromises{Service: name}
	for range promisesPerDatagram {
		change := returnplan.Change{Promise: returnplan.Promise{Signature: 1, Tenant: 1, Level: 15, DueAt: maxDuration}, Redeemed: true}
		promises.Promises = append(promises.Promises, promiseToWire(change, 0))
	}
	require.LessOrEqual(t, proto.Size(&v1.RelayDatagram{Format: datagram.Format, Content: &v1.RelayDatagram_SlotPromises{SlotPromises: promises}}), datagram.MaxSize)
	request := Request{Service: name, Excluded: make([]uint64, 500), TargetAt: maxDuration, DeadlineAt: maxDuration, Level: 15}
	message := requestToWire(&request, slotqueue.RequestID{Relay: 1, Number: largeNumber}, 0)
	require.LessOrEqual(t, proto.Size(&v1.RelayDatagram{Format: datagram.Format, Content: &v1.RelayDatagram_SlotRequest{SlotRequest: message}}), datagram.MaxSize)
}

// A report that is made while requests are unanswered must not make the owner release slots that are just being granted.
func TestReportsLeaveUnansweredRequestsAlone(t *testing.T) {
	holding := newServiceHoldings()
	for number := range uint64(5) {
		holding.begin(number + 1)
	}
	delete(holding.pending, 1)
	delete(holding.pending, 4)
	require.Equal(t, uint64(1), holding.answeredUpTo())
	delete(holding.pending, 2)
	require.Equal(t, uint64(2), holding.answeredUpTo())
	clear(holding.pending)
	require.Equal(t, uint64(5), holding.answeredUpTo())
}
