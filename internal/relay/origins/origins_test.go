package origins

import (
	"context"
	"fmt"
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
	testRoute    = streamorigin.RouteID(7)
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
	// stated is what the leader states to the relay; nil while the relay does not reach it. reads counts the calls.
	stated atomic.Pointer[v1.VersionStatement]
	reads  atomic.Int64
	close  func()
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
		IsLeaderInContact: func() bool { return relay.stated.Load() != nil },
		ReadStatement: func(context.Context) *v1.VersionStatement {
			relay.reads.Add(1)
			return relay.stated.Load()
		},
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
	found := r.Find(TakenUp{Name: name, Service: service, Routes: []streamorigin.RouteID{testRoute - 1, testRoute}}, stop)
	return found.Record, found.Outcome
}

// recordOf returns the record of a stream of which the client has events.
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

// Guards against a stream that is refused because it has lasted for longer than its record.
func TestRecordsOfLongStreamsAreRenewed(t *testing.T) {
	relays := startRelays(t, 2)
	for number, mayOutlast := range []bool{true, false} {
		relays[0].Track(&ActiveStream{
			Name:    func() streamorigin.Name { return streamorigin.NameOf("", "host", fmt.Sprint("id-", number)) },
			Service: testService, Record: recordOf("v1"), MayOutlast: mayOutlast,
		})
	}
	relays[0].renew()
	require.Eventually(t, func() bool { return relays[0].pendingCount() == 0 }, time.Minute, time.Millisecond)
	require.Equal(t, 1, relays[1].HeldCount())
	_, outcome := relays[1].search(streamorigin.NameOf("", "host", "id-0"), testService, nil)
	require.Equal(t, OwnRecord, outcome)
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
	require.Equal(t, NoStatement, outcome)
}

// statementOf returns a statement that reaches back for a time and names versions that are listed.
func statementOf(completeFor time.Duration, names ...string) *v1.VersionStatement {
	statement := &v1.VersionStatement{CompleteMs: uint64(completeFor.Milliseconds())}
	for _, name := range names {
		statement.Versions = append(statement.Versions, &v1.StatedVersion{Service: testService, Software: name})
	}
	return statement
}

// Guards against messages to other relays for each stream while one version serves, and against streams without records while several
// may.
func TestStreamsAreRecordedUnlessOneVersionAloneServes(t *testing.T) {
	relay := startRelays(t, 3)[0]
	relay.stated.Store(statementOf(streamorigin.MaxLifetime, "v1")) // the leader is in contact
	require.True(t, relay.NeedsRecords(testService), "nothing is known")
	relay.list("v1")
	require.True(t, relay.NeedsRecords(testService), "a leader that states nothing may know of another version")
	relay.ApplyStatement(statementOf(streamorigin.MaxLifetime, "v1"))
	require.False(t, relay.NeedsRecords(testService))
	relay.ApplyStatement(statementOf(streamorigin.MaxLifetime-time.Second, "v1"))
	require.True(t, relay.NeedsRecords(testService), "another version may have served before")
	relay.ApplyStatement(statementOf(streamorigin.MaxLifetime, "v1", "v2"))
	require.True(t, relay.NeedsRecords(testService))
	relay.ApplyStatement(statementOf(streamorigin.MaxLifetime, "v1"))
	relay.stated.Store(nil)
	require.True(t, relay.NeedsRecords(testService), "there is no leader that could be asked")
	relay.stated.Store(statementOf(streamorigin.MaxLifetime, "v1"))
	relay.list("v1", "v2")
	require.True(t, relay.NeedsRecords(testService))
}

// Guards against a stream that goes on at a version which its relay takes for the only one: only the leader can say so, and neither
// the relay's own list nor the silence or the ignorance of other relays.
func TestOnlyTheLeaderSaysWhichVersionIsTheOnlyOne(t *testing.T) {
	unlisted := func(unlistedFor time.Duration) *v1.VersionStatement {
		statement := statementOf(streamorigin.MaxLifetime, "v1")
		statement.Versions = append(statement.Versions, &v1.StatedVersion{Service: testService, Software: "v2", UnlistedMs: uint64(unlistedFor.Milliseconds())})
		return statement
	}
	changed := func(route streamorigin.RouteID) *v1.VersionStatement {
		statement := statementOf(streamorigin.MaxLifetime, "v1")
		statement.ChangedRoutes = []uint64{uint64(route)}
		return statement
	}
	for name, test := range map[string]struct {
		own, others *v1.VersionStatement
		areSilent   bool
		outcome     Outcome
	}{
		"one version":                                         {own: statementOf(streamorigin.MaxLifetime, "v1"), outcome: OnlyVersion},
		"one version, other relays are silent":                {own: statementOf(streamorigin.MaxLifetime, "v1"), areSilent: true, outcome: OnlyVersion},
		"two versions":                                        {own: statementOf(streamorigin.MaxLifetime, "v1", "v2"), outcome: NotFound},
		"another one left a moment ago":                       {own: unlisted(time.Second), outcome: NotFound},
		"another one left, by this relay's timeouts long ago": {own: unlisted(testLifetime), outcome: NotFound},
		"the leader does not know for long enough":            {own: statementOf(streamorigin.MaxLifetime-time.Second, "v1"), outcome: NotFound},
		"an unknown version":                                  {own: statementOf(streamorigin.MaxLifetime, ""), outcome: NotFound},
		"another service":                                     {own: statementOf(streamorigin.MaxLifetime), outcome: NotFound},
		"nobody reaches the leader":                           {outcome: NoStatement},
		"nobody reaches the leader or another one":            {areSilent: true, outcome: NoStatement},
		"others reach the leader":                             {others: statementOf(streamorigin.MaxLifetime, "v1"), outcome: RelayedOnlyVersion},
		"others reach it, two versions":                       {others: statementOf(streamorigin.MaxLifetime, "v1", "v2"), outcome: NotFound},
		"its route has led elsewhere":                         {own: changed(testRoute), outcome: NotFound},
		"another route has led elsewhere":                     {own: changed(testRoute + 1), outcome: OnlyVersion},
		"others reach it, its route has led elsewhere":        {others: changed(testRoute), outcome: NotFound},
		"others reach it, another route has led elsewhere":    {others: changed(testRoute + 1), outcome: RelayedOnlyVersion},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			relays := startRelays(t, 4)
			for _, relay := range relays {
				relay.list("v1")
				relay.clock.Add(int64(testLifetime))
				relay.stated.Store(test.others)
				if test.areSilent && relay != relays[0] {
					relay.losesNext.Store(1 << 40)
				}
			}
			relays[0].stated.Store(test.own)
			record, outcome := relays[0].search(streamorigin.NameOf("", "host", "id-1"), testService, nil)
			require.Equal(t, test.outcome, outcome)
			if outcome == OnlyVersion || outcome == RelayedOnlyVersion {
				require.Equal(t, streamorigin.VersionOf("v1"), record.Version)
			}
		})
	}
}

// Guards against a call to the leader for each of many streams that are taken up at once, and against a statement that was asked for
// before a stream was taken up.
func TestSearchesShareCallsThatAreSentAfterThem(t *testing.T) {
	relay := startRelay(t, 1)
	isSent, mayAnswer := make(chan struct{}), make(chan struct{})
	relay.statements.readStatement = func(context.Context) *v1.VersionStatement {
		if relay.reads.Add(1) == 1 {
			close(isSent)
			<-mayAnswer
		}
		return relay.stated.Load()
	}
	relay.stated.Store(statementOf(streamorigin.MaxLifetime, "v1"))
	outcomes := make(chan Outcome)
	search := func(id string) {
		_, outcome := relay.search(streamorigin.NameOf("", "host", id), testService, nil)
		outcomes <- outcome
	}
	go search("id-1")
	<-isSent
	const later = 20
	for range later {
		go search("id-2")
	}
	require.Eventually(t, func() bool {
		relay.statements.mutex.Lock()
		defer relay.statements.mutex.Unlock()
		return relay.statements.next != nil && relay.statements.next.waiting == later
	}, time.Minute, time.Millisecond)
	relay.stated.Store(statementOf(streamorigin.MaxLifetime, "v1", "v2"))
	close(mayAnswer)
	for range later + 1 {
		require.Equal(t, NotFound, <-outcomes)
	}
	require.EqualValues(t, 2, relay.reads.Load())
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
	relays[1].stated.Store(statementOf(streamorigin.MaxLifetime, "v1", "v2"))
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
	require.Equal(t, NoStatement, outcome)
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
