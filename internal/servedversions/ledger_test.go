package servedversions

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// recorded returns a record of versions of one service; the names must be sorted.
func recorded(isIncomplete bool, names ...string) *v1.ServedVersions {
	record := &v1.ServedVersions{Term: 3, Incomplete: isIncomplete}
	for _, name := range names {
		record.Versions = append(record.Versions, &v1.ServedVersion{Service: "s", Software: name})
	}
	return record
}

func listed(names ...string) map[Version]bool {
	versions := map[Version]bool{}
	for _, name := range names {
		versions[Version{Service: "s", Software: name}] = true
	}
	return versions
}

// unlistedFor returns the versions of the ledger's statement, and for how long each has not been listed.
func unlistedFor(ledger *Ledger, now time.Duration) map[string]time.Duration {
	versions := map[string]time.Duration{}
	for _, version := range ledger.Statement(now).GetVersions() {
		versions[version.GetSoftware()] = time.Duration(version.GetUnlistedMs()) * time.Millisecond
	}
	return versions
}

// Guards against a new leader that claims to know all versions although the record before it does not hold them.
func TestNewLedgerIsCompleteOnlyAfterATrustedRecord(t *testing.T) {
	const now = time.Hour
	for name, test := range map[string]struct {
		record    *v1.ServedVersions
		isTrusted bool
		expected  time.Duration
	}{
		"trusted":               {recorded(false, "v1"), true, Retention},
		"trusted, but lacking":  {recorded(true, "v1"), true, 0},
		"a former leader since": {recorded(false, "v1"), false, 0},
		"no record":             {nil, false, 0},
		"a new log":             {nil, true, Retention},
	} {
		t.Run(name, func(t *testing.T) {
			ledger := NewLedger(now, test.record, test.isTrusted)
			complete := func(at time.Duration) time.Duration {
				return time.Duration(ledger.Statement(at).GetCompleteMs()) * time.Millisecond
			}
			require.Equal(t, test.expected, complete(now))
			require.Equal(t, test.expected+time.Minute, complete(now+time.Minute))
			require.Equal(t, test.expected < Retention, ledger.Record(now, 4).GetIncomplete())
			require.False(t, ledger.Record(now+Retention, 4).GetIncomplete())
			require.Len(t, ledger.Statement(now).GetVersions(), len(test.record.GetVersions()))
		})
	}
}

// Guards against a version that is dropped, or said to have left, before the streams that it began must have ended.
func TestLedgerKeepsVersionsForTheirRetention(t *testing.T) {
	ledger := NewLedger(time.Minute, recorded(false, "v0", "v1"), true)
	steps := []struct {
		at       time.Duration
		listed   []string
		expected map[string]time.Duration
	}{
		{time.Minute, []string{"v1"}, map[string]time.Duration{"v0": time.Millisecond, "v1": 0}},
		{time.Minute + time.Second, []string{"v1", "v2"}, map[string]time.Duration{"v0": time.Second, "v1": 0, "v2": 0}},
		{time.Minute + 2*time.Second, []string{"v2"}, map[string]time.Duration{"v0": 2 * time.Second, "v1": time.Millisecond, "v2": 0}},
		{time.Minute + Retention - 1, []string{"v2"}, map[string]time.Duration{
			"v0": Retention - time.Millisecond, "v1": Retention - 2*time.Second - time.Millisecond, "v2": 0,
		}},
		{time.Minute + Retention, []string{"v2"}, map[string]time.Duration{"v1": Retention - 2*time.Second, "v2": 0}},
		{time.Minute + Retention + time.Second, []string{"v1"}, map[string]time.Duration{"v1": 0, "v2": time.Millisecond}}, // a rollback
		{time.Minute + Retention + 2*time.Second, nil, map[string]time.Duration{"v1": time.Millisecond, "v2": time.Second}},
		{time.Minute + 3*Retention, nil, map[string]time.Duration{}},
	}
	for _, step := range steps {
		ledger.Observe(step.at, listed(step.listed...))
		require.Equal(t, step.expected, unlistedFor(ledger, step.at), "at %v", step.at)
		for name := range step.expected {
			require.True(t, Contains(ledger.Record(step.at, 4), Version{Service: "s", Software: name}))
		}
	}
}

// Guards against a ledger without bounds, and against one that drops versions and goes on claiming to know all.
func TestLedgerIsBounded(t *testing.T) {
	ledger := NewLedger(0, recorded(false), true)
	for number := range MaxVersions {
		ledger.Observe(time.Duration(number)*time.Millisecond, listed(fmt.Sprint("v", number)))
	}
	now := MaxVersions * time.Millisecond
	require.False(t, ledger.Record(now, 4).GetIncomplete())
	require.Len(t, ledger.Statement(now).GetVersions(), MaxVersions)
	ledger.Observe(now, listed("one more"))
	require.True(t, ledger.Record(now, 4).GetIncomplete())
	require.Zero(t, ledger.Statement(now).GetCompleteMs())
	require.Len(t, ledger.Statement(now).GetVersions(), MaxVersions)
	require.Contains(t, unlistedFor(ledger, now), "one more")
	require.NotContains(t, unlistedFor(ledger, now), "v0", "the version that has not been listed for the longest time gives way")
	require.Contains(t, unlistedFor(ledger, now), "v1")
}

// Guards against versions of one service that are taken for those of another one, and against a version without a name that is lost.
func TestVersionsAreThoseOfTheirService(t *testing.T) {
	ledger := NewLedger(0, nil, true)
	ledger.Observe(0, map[Version]bool{VersionOf(&v1.ListedBackEnd{Service: "a", Software: "v1"}): true, VersionOf(&v1.ListedBackEnd{Service: "b"}): true})
	record := ledger.Record(0, 4)
	for version, expected := range map[Version]bool{
		{"a", "v1"}: true, {"b", ""}: true, {"b", "v1"}: false, {"a", ""}: false, {"", "v1"}: false,
	} {
		require.Equal(t, expected, Contains(record, version), version)
	}
	again := NewLedger(0, record, true).Record(0, 5)
	require.True(t, Equal(record, again), "a record is the same in a later term")
	require.Equal(t, uint64(5), again.GetTerm())
	require.False(t, Equal(record, recorded(false, "v1")))
	again.Incomplete = true
	require.False(t, Equal(record, again))
}

// Guards against changed routes that a new leader forgets, that never expire, or that are told with each answer to all relays.
func TestLedgerKeepsChangedRoutesForTheirRetention(t *testing.T) {
	route := streamorigin.Route{Host: "h", Prefix: "/p/"}
	expected := []uint64{uint64(route.ID())}
	ledger := NewLedger(0, nil, true)
	ledger.ChangeRoutes(time.Minute, map[streamorigin.Route]bool{route: true})
	record := ledger.Record(time.Minute, 4)
	require.Equal(t, expected, record.GetChangedRoutes())
	require.False(t, record.GetIncomplete())
	require.False(t, Equal(record, NewLedger(0, nil, true).Record(0, 4)))
	require.Empty(t, ledger.Statement(time.Minute).GetChangedRoutes())
	require.True(t, ledger.Statement(time.Minute).GetRoutesChanged())
	next := NewLedger(2*time.Minute, record, true)
	require.Equal(t, expected, next.StatementWithRoutes(2*time.Minute).GetChangedRoutes())
	const end = 2*time.Minute + streamorigin.ChangeRetention
	require.Equal(t, expected, next.StatementWithRoutes(end-1).GetChangedRoutes())
	require.True(t, next.Statement(end-1).GetRoutesChanged())
	require.Empty(t, next.StatementWithRoutes(end).GetChangedRoutes(), "also while no list can be read")
	require.False(t, next.Statement(end).GetRoutesChanged())
	next.MarkRoutesIncomplete(time.Hour)
	require.True(t, next.Record(time.Hour, 5).GetIncomplete())
	require.Zero(t, next.StatementWithRoutes(time.Hour).GetCompleteMs())
	require.False(t, next.Record(time.Hour+Retention, 5).GetIncomplete())
}

// Guards against routes that lead elsewhere once they were written to the log and read again.
func TestRoutesAreTheSameAfterTheLog(t *testing.T) {
	for _, routes := range []streamorigin.Routes{
		nil, {}, {{Host: "h", Prefix: "/p/"}: {"one": true, "two": true}, {Host: "g", Prefix: "/"}: {"one": true}},
	} {
		require.Equal(t, routes, RoutesFromWire(RoutesToWire(routes)))
	}
}
