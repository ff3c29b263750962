package slots

import (
	"math"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
	"github.com/hazelpitch/hazelpitch/internal/relay/peerhealth"
	"github.com/hazelpitch/hazelpitch/internal/slotqueue"
)

// FuzzDatagram feeds arbitrary datagrams of other relays to an owner of slots: none may crash it, answer a request of
// another incarnation, or send a client away for long.
func FuzzDatagram(f *testing.F) {
	for _, seed := range []*v1.RelayDatagram{
		{Content: &v1.RelayDatagram_SlotRequest{SlotRequest: &v1.SlotRequest{Relay: 1, Number: 1, Service: service, Level: math.MaxUint32, TimeLeftUs: math.MaxUint64, Excluded: []uint64{1}}}},
		{Content: &v1.RelayDatagram_SlotRequest{SlotRequest: &v1.SlotRequest{Relay: 1, Number: 1, Service: service, TargetUs: 500_000, TimeLeftUs: 2_000_000}}},
		{Content: &v1.RelayDatagram_SlotRequest{SlotRequest: &v1.SlotRequest{Relay: 1, Number: math.MaxUint64, Service: service, Cancelled: true}}},
		{Content: &v1.RelayDatagram_SlotAnswer{SlotAnswer: &v1.SlotAnswer{Number: 1, Relay: 7, Outcome: 99, RetryAfterUs: math.MaxUint64, Reason: math.MaxUint32}}},
		{Content: &v1.RelayDatagram_SlotReport{SlotReport: &v1.SlotReport{
			Relay: 1, Sequence: math.MaxUint64, Service: service, AnsweredUpTo: math.MaxUint64, Held: []*v1.HeldSlot{{Number: 1, BackEnd: 1}},
			Released: []*v1.ReleasedSlot{{Number: 1, ServiceUs: math.MaxUint64, SlowdownPercent: math.MaxUint32, TurnedAway: true}},
		}}},
		{Content: &v1.RelayDatagram_SlotPromises{SlotPromises: &v1.SlotPromises{Service: service, Promises: []*v1.SlotPromise{{Signature: 1, DueUs: math.MaxUint64, Level: math.MaxUint32}}}}},
	} {
		content, err := proto.Marshal(seed)
		require.NoError(f, err)
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		received := &v1.RelayDatagram{}
		if proto.Unmarshal(content, received) != nil {
			return
		}
		const other = "10.0.0.2:1"
		now := time.Minute
		owner, answers := newFuzzedOwner(&now, other)
		relay := &testRelay{Slots: owner}
		for range 3 {
			relay.handle(received, other)
			owner.granter.advanceDue()
			now += time.Second
		}
		for len(answers) > 0 {
			answer := <-answers
			require.LessOrEqual(t, retryAfterFromWire(answer), maxRetryAfter)
		}
		request := requestFromWire(received.GetSlotRequest(), now)
		require.GreaterOrEqual(t, request.TargetAt, now)
		require.GreaterOrEqual(t, request.DeadlineAt, now)
		require.LessOrEqual(t, request.DeadlineAt, now+maxDuration)
		require.Less(t, request.Level, slotqueue.LevelCount)
		require.GreaterOrEqual(t, retryAfterFromWire(received.GetSlotAnswer()), time.Duration(0))
	})
}

// newFuzzedOwner returns the Slots of an owner that has sent a request with the number 1 as incarnation 7, and the channel
// of that request's answers.
func newFuzzedOwner(now *time.Duration, deputy string) (*Slots, chan *v1.SlotAnswer) {
	dropped := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dropped"}, []string{"reason"})
	_, factory := metrics.NewRegistry("relay", "fuzzed", "zone")
	peers := peerhealth.New(func(string, time.Duration) {})
	owner := New(Config{
		Socket: datagram.New(newFakeNetwork().connect("10.0.0.1:1"), dropped), Incarnation: 7,
		Now: func() time.Duration { return *now }, Draw: func() float64 { return 0.5 },
		Peers: peers, AnswerTimeout: peers.Timeout, Services: func() []string { return []string{service} },
		BackEnds: func(string) []slotqueue.BackEnd { return []slotqueue.BackEnd{{Hash: 1, Slots: 1}, {Hash: 2, Slots: 1}} },
		Event:    func(events.Event) *zerolog.Event { return nil }, DecisionEvent: func(events.Event) *zerolog.Event { return nil }, Metrics: NewMetrics(factory, func() *Slots { return nil }),
	})
	owner.SetRelays([]string{"10.0.0.1:1", deputy})
	_, answers := owner.queries.Open()
	return owner, answers
}
