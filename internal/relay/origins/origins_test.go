package origins

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

const (
	testService  = "service"
	testLifetime = time.Minute
)

// testRelay is a relay with its datagrams on loopback.
type testRelay struct {
	*Origins
	address string
	// clock is added to the time; listed is the time that the relay has had its list.
	clock atomic.Int64
	// losesNext is how many of the datagrams that it is sent next are lost.
	losesNext atomic.Int64
	received  atomic.Int64
	close     func()
}

func startRelay(t *testing.T, incarnation uint64) *testRelay {
	t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	dropped := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dropped"}, []string{"reason"})
	relay, start := &testRelay{address: socket.LocalAddr().String()}, time.Now()
	datagrams := datagram.New(socket, dropped)
	relay.Origins = New(Config{
		Socket: datagrams, Incarnation: incarnation, Now: func() time.Duration { return time.Since(start) + time.Duration(relay.clock.Load()) },
		Timeout: func() time.Duration { return 100 * time.Millisecond }, LifetimeOf: func(string) time.Duration { return testLifetime },
		IsListCurrent: func() bool { return true }, ListAge: func() time.Duration { return 0 },
		Metrics: Metrics{
			Reports: prometheus.NewCounter(prometheus.CounterOpts{Name: "reports"}), Lookups: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lookups"}, []string{"outcome"}),
		},
	})
	relay.close = func() { _ = datagrams.Close() }
	t.Cleanup(relay.close)
	go datagrams.Receive(relay.handle)
	go relay.Run(t.Context())
	return relay
}

func (r *testRelay) handle(received *v1.RelayDatagram, from string) {
	r.received.Add(1)
	if r.losesNext.Add(-1) >= 0 {
		return
	}
	switch content := received.GetContent().(type) {
	case *v1.RelayDatagram_StreamOriginReport:
		r.HandleReport(content.StreamOriginReport, from)
	case *v1.RelayDatagram_StreamOriginReceipt:
		r.HandleReceipt(content.StreamOriginReceipt)
	case *v1.RelayDatagram_StreamOriginQuery:
		r.HandleQuery(content.StreamOriginQuery, from)
	case *v1.RelayDatagram_StreamOriginAnswer:
		r.HandleAnswer(content.StreamOriginAnswer)
	}
}

// startRelays starts relays that know each other.
func startRelays(t *testing.T, count int) []*testRelay {
	t.Helper()
	var relays []*testRelay
	var addresses []string
	for number := range count {
		relays = append(relays, startRelay(t, uint64(number+1)))
		addresses = append(addresses, relays[number].address)
	}
	for _, relay := range relays {
		relay.SetRelays(addresses)
	}
	return relays
}

// list applies a list with back ends of the given versions.
func (r *testRelay) list(names ...string) {
	versions := map[streamorigin.Version]bool{}
	for _, name := range names {
		versions[streamorigin.VersionOf(name)] = true
	}
	r.ApplyListing(map[string]map[streamorigin.Version]bool{testService: versions})
}

// search returns what Find finds, without its age.
func (r *testRelay) search(name streamorigin.Name, service string, stop <-chan struct{}) (streamorigin.Record, Outcome) {
	found := r.Find(name, service, stop)
	return found.Record, found.Outcome
}

func recordOf(version string) streamorigin.Record {
	return streamorigin.Record{Service: 7, Version: streamorigin.VersionOf(version), Sequence: 1}
}

// Guards against a stream whose version is unknown after the relay that began it, and one of those that keep it, have died.
func TestRecordOutlivesTheRelayThatMadeIt(t *testing.T) {
	relays := startRelays(t, 7)
	for _, relay := range relays {
		relay.list("v1", "v2")
	}
	name := streamorigin.NameOf("", "host", "id-1")
	owners := relays[0].ownersOf(name)
	require.GreaterOrEqual(t, len(owners), ownersPerStream-1)
	require.True(t, relays[0].Record(name, testService, recordOf("v1")).Await(time.Minute, nil))
	for _, owner := range relays {
		if owner.address == owners[0] {
			require.Eventually(t, func() bool { return owner.HeldCount() == 1 }, time.Minute, time.Millisecond)
		}
	}
	require.Eventually(t, func() bool { return relays[0].pendingCount() == 0 }, time.Minute, time.Millisecond)
	relays[0].close()
	for _, relay := range relays[1:] {
		if relay.address == owners[1] {
			relay.close()
			continue
		}
		record, outcome := relay.search(name, testService, nil)
		require.Equal(t, recordOf("v1"), record)
		require.Contains(t, []Outcome{OwnRecord, OtherRecord}, outcome)
	}
}

func (o *Origins) pendingCount() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.pending)
}

// Guards against a record that is lost with a datagram.
func TestReportsAreRepeatedUntilTheyAreConfirmed(t *testing.T) {
	relays := startRelays(t, 2)
	relays[1].losesNext.Store(2)
	recording := relays[0].Record(streamorigin.NameOf("", "host", "id-1"), testService, recordOf("v1"))
	require.False(t, recording.Await(0, nil))
	require.True(t, recording.Await(time.Minute, nil))
	require.Equal(t, 1, relays[1].HeldCount())
}

// Guards against reports that are repeated for ever, and against a first event that waits for a relay that is gone.
func TestReportsToADeadRelayEnd(t *testing.T) {
	relays := startRelays(t, 2)
	relays[1].close()
	recording := relays[0].Record(streamorigin.NameOf("", "host", "id-1"), testService, recordOf("v1"))
	require.False(t, recording.Await(time.Millisecond, nil))
	require.Eventually(t, func() bool { return relays[0].pendingCount() == 0 }, time.Minute, time.Millisecond)
	require.InDelta(t, maxSends, testutil.ToFloat64(relays[0].config.Metrics.Reports), 0)
	_, outcome := relays[0].search(streamorigin.NameOf("", "host", "id-2"), testService, nil)
	require.Equal(t, NotFound, outcome)
}

// Guards against messages, and waits, while one version serves.
func TestOneVersionCostsNoMessage(t *testing.T) {
	relays := startRelays(t, 3)
	for _, relay := range relays {
		relay.list("v1")
		relay.clock.Add(int64(testLifetime))
	}
	record, outcome := relays[0].search(streamorigin.NameOf("", "host", "id-1"), testService, nil)
	require.Equal(t, OnlyVersion, outcome)
	require.Equal(t, streamorigin.VersionOf("v1"), record.Version)
	for _, relay := range relays {
		require.Zero(t, relay.received.Load())
	}
}

// Guards against streams that are refused by a relay that has just started, although one version alone has served for long.
func TestARelayThatHasJustStartedAsksOthersForTheOnlyVersion(t *testing.T) {
	relays := startRelays(t, 3)
	for _, relay := range relays {
		relay.list("v1")
		if relay != relays[0] {
			relay.clock.Add(int64(testLifetime))
		}
	}
	record, outcome := relays[0].search(streamorigin.Name{}, testService, nil)
	require.Equal(t, UnopposedVersion, outcome)
	require.Equal(t, streamorigin.VersionOf("v1"), record.Version)
	for _, relay := range relays {
		relay.list("v1", "v2")
	}
	_, outcome = relays[0].search(streamorigin.Name{}, testService, nil)
	require.Equal(t, NotFound, outcome)
}

// Guards against streams that are refused after all relays have started again, although one version alone serves.
func TestRelaysThatHaveAllJustStartedKnowTheSingleVersion(t *testing.T) {
	relays := startRelays(t, 3)
	for _, relay := range relays {
		relay.list("v1")
	}
	record, outcome := relays[0].search(streamorigin.NameOf("", "host", "id-1"), testService, nil)
	require.Equal(t, UnopposedVersion, outcome)
	require.Equal(t, streamorigin.VersionOf("v1"), record.Version)
	relays[1].list("v1", "v2")
	_, outcome = relays[0].search(streamorigin.NameOf("", "host", "id-1"), testService, nil)
	require.Equal(t, NotFound, outcome, "another relay knows of a second version")
}

// Guards against streams that began while one version served, and are taken up after a second one has come.
func TestStreamsUnderWayAreRecordedWhenASecondVersionComes(t *testing.T) {
	relays := startRelays(t, 3)
	for _, relay := range relays {
		relay.list("v1")
	}
	active := func(id string) *ActiveStream {
		name := func() streamorigin.Name { return streamorigin.NameOf("", "host", id) }
		return &ActiveStream{Name: name, Service: testService, Record: recordOf("v1")}
	}
	under, ended := active("under way"), active("ended")
	relays[0].Track(under)
	relays[0].Track(ended)
	relays[0].Untrack(ended)
	for _, relay := range relays {
		relay.list("v1", "v2")
	}
	require.Eventually(t, func() bool { return relays[1].HeldCount() == 1 && relays[2].HeldCount() == 1 }, time.Minute, time.Millisecond)
	record, _ := relays[1].search(under.Name(), testService, nil)
	require.Equal(t, recordOf("v1"), record)
	_, outcome := relays[1].search(ended.Name(), testService, nil)
	require.Equal(t, NotFound, outcome)
}

// Guards against a search that goes on after its client has left.
func TestSearchEndsWithItsClient(t *testing.T) {
	relays := startRelays(t, 2)
	relays[1].close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, outcome := relays[0].search(streamorigin.NameOf("", "host", "id-1"), testService, ctx.Done())
	require.Equal(t, NotFound, outcome)
}

// Guards against datagrams of other relays that store what is no record, or keep it for ever.
func FuzzOriginFromWire(f *testing.F) {
	f.Add(uint64(1), uint64(2), uint64(3), uint64(4), uint32(5), uint32(6))
	f.Fuzz(func(t *testing.T, high, low, service, software uint64, sequence, lifetimeMs uint32) {
		name, record, lifetime, isValid := originFromWire(&v1.StreamOrigin{NameHigh: high, NameLow: low, Service: service, Software: software, Sequence: sequence, LifetimeMs: lifetimeMs})
		require.Equal(t, software != uint64(streamorigin.None), isValid)
		require.LessOrEqual(t, lifetime, streamorigin.MaxLifetime)
		if isValid {
			again, sameRecord, _, _ := originFromWire(originToWire(name, record, lifetime))
			require.Equal(t, name, again)
			require.Equal(t, record, sameRecord)
		}
	})
}
