package streamorigin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a stream that goes on at a version of which only a guess says that it began it.
func TestUnknownVersionsAllowNothing(t *testing.T) {
	one, two := VersionOf("v1"), VersionOf("v2")
	require.True(t, None.Allows(one))
	require.True(t, None.Allows(Unknown))
	require.True(t, one.Allows(one))
	require.False(t, one.Allows(two))
	require.False(t, one.Allows(Unknown))
	require.False(t, Unknown.Allows(Unknown))
	require.Equal(t, Unknown, VersionOf(""))
}

// Guards against a tenant that names another tenant's stream.
func TestNamesDifferByTenantHostAndRequest(t *testing.T) {
	names := map[Name]bool{}
	for _, parts := range [][3]string{{"a", "b", "c"}, {"ab", "", "c"}, {"", "ab", "c"}, {"a", "bc", ""}, {"b", "b", "c"}, {"a", "b", "d"}} {
		names[NameOf(parts[0], parts[1], parts[2])] = true
	}
	require.Len(t, names, 6)
	require.Equal(t, NameOf("a", "b", "c"), NameOf("a", "b", "c"))
}

// Guards against a record that a late datagram about an earlier attempt replaces.
func TestTheHighestSequenceHolds(t *testing.T) {
	table, name := NewTable(4), NameOf("", "host", "1")
	first, second := Record{Version: VersionOf("v1"), Sequence: 1}, Record{Version: VersionOf("v2"), Sequence: 2}
	table.Put(0, name, second, time.Second)
	table.Put(1, name, first, time.Second)
	found, isFound := table.Get(2, name)
	require.True(t, isFound)
	require.Equal(t, second, found)
	_, isFound = table.Get(time.Second, name)
	require.False(t, isFound, "expired")
	table.Put(time.Second, name, first, time.Hour)
	_, isFound = table.Get(time.Second+MaxLifetime-1, name)
	require.True(t, isFound)
	_, isFound = table.Get(time.Second+MaxLifetime, name)
	require.False(t, isFound, "lifetimes are bounded")
}

// Guards against a table that grows without bounds, and against one that drops records that were put last.
func TestTableIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 5
		table, now := NewTable(capacity), time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "puts") {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "pause")) * time.Second
			name := Name{Low: rapid.Uint64Range(0, 12).Draw(t, "name")}
			table.Put(now, name, Record{Sequence: 1}, time.Hour)
			if table.Len() > capacity || len(table.byName) != table.Len() {
				t.Fatalf("%d records", table.Len())
			}
			if _, found := table.Get(now, name); !found {
				t.Fatalf("the newest record is gone")
			}
		}
	})
}

func versions(names ...string) map[Version]bool {
	set := map[Version]bool{}
	for _, name := range names {
		set[VersionOf(name)] = true
	}
	return set
}

// Guards against streams that are not recorded although a relay has listed another version within the time that a stream can last.
func TestHistoryKnowsVersionsForTheLifetimeOfAStream(t *testing.T) {
	const lifetime = 12 * time.Second
	type listing = map[string]map[Version]bool
	history := NewHistory()
	requireSingle := func(at time.Duration, expected string) {
		t.Helper()
		single, isSingle := history.Single(at, "s", lifetime)
		require.Equal(t, expected != "", isSingle)
		if isSingle {
			require.Equal(t, VersionOf(expected), single)
		}
	}
	requireSingle(0, "")
	require.Empty(t, history.Update(0, listing{"s": versions("v1")}))
	requireSingle(0, "v1")
	require.Equal(t, []string{"s"}, history.Update(20*time.Second, listing{"s": versions("v1", "v2")}))
	requireSingle(20*time.Second, "")
	require.Empty(t, history.Update(30*time.Second, listing{"s": versions("v2")}))
	requireSingle(30*time.Second, "")
	requireSingle(30*time.Second+lifetime, "v2")
	require.Empty(t, history.Update(50*time.Second, listing{}))
	requireSingle(50*time.Second, "v2") // no back end is left; streams of the version may still be taken up
	requireSingle(50*time.Second+lifetime, "")
	history.Update(80*time.Second, listing{"s": versions("")})
	requireSingle(80*time.Second+lifetime, "")
	require.Equal(t, MaxLifetime, LifetimeOf(time.Hour))
	require.Equal(t, lifetime, LifetimeOf(6*time.Second))
}

// Guards against a stream that goes on at a version which is not the only one that can have begun it.
func TestStatementNamesTheOnlyVersion(t *testing.T) {
	for name, test := range map[string]struct {
		completeFor time.Duration
		versions    map[Version]bool
		expected    string
	}{
		"one":                                {MaxLifetime, versions("v1"), "v1"},
		"none":                               {MaxLifetime, nil, ""},
		"two":                                {MaxLifetime, versions("v1", "v2"), ""},
		"unknown":                            {MaxLifetime, versions(""), ""},
		"one and unknown":                    {MaxLifetime, versions("v1", ""), ""},
		"one, in a statement not far enough": {MaxLifetime - 1, versions("v1"), ""},
	} {
		t.Run(name, func(t *testing.T) {
			statement := &Statement{CompleteFor: test.completeFor, Versions: map[string]map[Version]bool{"s": test.versions}}
			single, isSingle := statement.SingleOf([]RouteID{1, 3}, "s")
			require.Equal(t, test.expected != "", isSingle)
			if isSingle {
				require.Equal(t, VersionOf(test.expected), single)
			}
			statement.ChangedRoutes = map[RouteID]bool{2: true}
			_, isSingle = statement.SingleOf([]RouteID{1, 3}, "s")
			require.Equal(t, test.expected != "", isSingle, "another route has changed")
			_, isSingle = statement.SingleOf([]RouteID{1, 2}, "s")
			require.False(t, isSingle, "its route has changed")
		})
	}
	_, isSingle := (*Statement)(nil).SingleOf([]RouteID{1}, "s")
	require.False(t, isSingle)
}

// Guards against a stream that goes on at another service than the one that began it, because its route has led to both.
func TestRouteServicesKnowsWhereARouteHasLed(t *testing.T) {
	const path = "/p/x"
	route := Route{Host: "h", Prefix: "/p/"}
	services := func(names ...string) Routes {
		set := map[string]bool{}
		for _, name := range names {
			set[name] = true
		}
		return Routes{route: set}
	}
	known := NewRouteServices()
	require.False(t, known.IsSingle(0, route, path))
	require.Empty(t, known.Update(0, services("one")))
	require.True(t, known.IsSingle(0, route, path))
	require.Equal(t, map[string]bool{"one": true}, known.Update(10*time.Second, services("one", "two")))
	require.False(t, known.IsSingle(10*time.Second, route, path))
	require.Empty(t, known.Update(20*time.Second, services("two")), "its streams are recorded since it was split")
	require.False(t, known.IsSingle(20*time.Second+ChangeRetention-1, route, path))
	require.True(t, known.IsSingle(20*time.Second+ChangeRetention, route, path))
	known.Update(3*MaxLifetime, services("two"))
	require.Equal(t, map[string]bool{"two": true}, known.Update(3*MaxLifetime, services("three")))
	known.Update(3*MaxLifetime, Routes{})
	require.False(t, known.IsSingle(3*MaxLifetime, route, path), "two and three")
	known.Update(3*MaxLifetime, services("two"))
	require.False(t, known.IsSingle(3*MaxLifetime, route, path), "the route came back elsewhere")
	known.Update(5*MaxLifetime, Routes{})
	known.Update(7*MaxLifetime, Routes{})
	require.Empty(t, known.changes.All())
}

// Guards against a stream that goes on at another service because a route for its path was added or removed since it began, and against
// records of streams that no change concerns.
func TestRouteServicesKnowsRoutesThatCarryOthersRequests(t *testing.T) {
	wide, narrow := Route{Host: "h", Prefix: "/"}, Route{Host: "h", Prefix: "/x/"}
	const beside, within = "/y/1", "/x/1"
	one, two := map[string]bool{"one": true}, map[string]bool{"two": true}
	known := NewRouteServices()
	require.Empty(t, known.Update(0, Routes{wide: one}))
	require.Equal(t, one, known.Update(time.Second, Routes{wide: one, narrow: two}))
	require.False(t, known.IsSingle(time.Second, narrow, within), "its streams began at the other service")
	require.False(t, known.IsSingle(time.Second, wide, within), "another relay may know the narrow route")
	require.True(t, known.IsSingle(time.Second, wide, beside), "no narrow route has carried them")
	require.True(t, known.IsSingle(time.Second+ChangeRetention, narrow, within))
	require.Equal(t, two, known.Update(2*MaxLifetime, Routes{wide: one}))
	require.False(t, known.IsSingle(2*MaxLifetime, wide, within), "it carries the requests of the route that is gone")
	require.True(t, known.IsSingle(2*MaxLifetime, wide, beside))
	known.Update(4*MaxLifetime, Routes{wide: one})
	require.True(t, known.IsSingle(4*MaxLifetime, wide, within))
}

// Guards against streams that nobody records although the leader states that their route has changed: this process has started since, or the
// leader counts from later on.
func TestRouteServicesKnowsThatItMayMissChanges(t *testing.T) {
	route := Route{Host: "h", Prefix: "/"}
	known := NewRouteServices()
	require.True(t, known.MayMissChanges(0))
	known.Update(0, Routes{route: {"one": true}})
	require.True(t, known.MayMissChanges(ChangeRetention-1))
	known.Update(ChangeRetention, Routes{route: {"two": true}})
	require.False(t, known.MayMissChanges(ChangeRetention))
	require.False(t, known.MayMissChanges(2*ChangeRetention-1))
	require.True(t, known.MayMissChanges(2*ChangeRetention))
}
