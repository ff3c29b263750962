package streamorigin

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Guards against a stream that goes on at another service than the one that began it, by whatever of the last configurations its relays go, and
// against streams that are uncertain although no route of their path has changed.
func TestStreamsWhoseServiceMayDifferAreUncertain(t *testing.T) {
	paths := map[string]string{"/": "/z", "/c/": "/c/1", "/c/x/": "/c/x/1", "/c/x/y/": "/c/x/y/1", "/d/": "/d/1"}
	prefixes := slices.Sorted(maps.Keys(paths))
	drawRoutes := rapid.Custom(func(t *rapid.T) Routes {
		routes := Routes{}
		for _, prefix := range prefixes {
			if service := rapid.SampledFrom([]string{"", "s0", "s1"}).Draw(t, "service"); service != "" {
				routes[Route{Host: "h", Prefix: prefix}] = map[string]bool{service: true}
			}
		}
		return routes
	})
	rapid.Check(t, func(t *rapid.T) {
		documents := []Routes{drawRoutes.Draw(t, "routes")}
		changes := NewRouteChanges(-ChangeRetention)
		for range 3 {
			former, next := documents[len(documents)-1], drawRoutes.Draw(t, "routes")
			if rapid.Bool().Draw(t, "only one route changes") {
				route := Route{Host: "h", Prefix: rapid.SampledFrom(prefixes).Draw(t, "prefix")}
				drawn := next[route]
				next = maps.Clone(former)
				delete(next, route)
				if drawn != nil {
					next[route] = drawn
				}
			}
			changes.Add(0, former.ChangedTo(next))
			documents = append(documents, next)
		}
		for _, path := range paths {
			for _, begun := range documents {
				for _, taken := range documents {
					first, hasFirst := begun.carrierOf(Route{Host: "h", Prefix: path[:strings.LastIndexByte(path, '/')+1]})
					second, hasSecond := taken.carrierOf(Route{Host: "h", Prefix: path[:strings.LastIndexByte(path, '/')+1]})
					if !hasFirst || !hasSecond {
						continue
					}
					routes, isComplete := second.RoutesToCheck(path)
					require.True(t, isComplete)
					if !maps.Equal(begun[first], taken[second]) {
						require.True(t, changes.HaveChanged(0, routes), "%s of %v, by %v", path, begun, taken)
					}
				}
			}
		}
	})
}

// Guards against a change of routes that is not noticed, and against routes that count as changed without need.
func TestChangedRoutesAreAddedRemovedOrLedElsewhere(t *testing.T) {
	at := func(prefix string) Route { return Route{Host: "h", Prefix: prefix} }
	one, two := map[string]bool{"one": true}, map[string]bool{"two": true}
	for name, test := range map[string]struct {
		former, next Routes
		changed      []Route
	}{
		"nothing":                 {Routes{at("/"): one}, Routes{at("/"): one}, nil},
		"the first configuration": {nil, Routes{at("/"): one, at("/a/"): two}, nil},
		"another service":         {Routes{at("/"): one, at("/a/"): one}, Routes{at("/"): one, at("/a/"): two}, []Route{at("/a/")}},
		"a split":                 {Routes{at("/"): one}, Routes{at("/"): {"one": true, "two": true}}, []Route{at("/")}},
		"a route more":            {Routes{at("/"): one}, Routes{at("/"): one, at("/a/"): one}, []Route{at("/a/")}},
		"a route less":            {Routes{at("/"): one, at("/a/"): two}, Routes{at("/"): one}, []Route{at("/a/")}},
		"another prefix":          {Routes{at("/a/b/"): one}, Routes{at("/a/"): two}, []Route{at("/a/b/"), at("/a/")}},
	} {
		t.Run(name, func(t *testing.T) {
			expected := map[Route]bool{}
			for _, route := range test.changed {
				expected[route] = true
			}
			require.Equal(t, expected, test.former.ChangedTo(test.next))
		})
	}
}

// Guards against a search without bounds for a path of many parts.
func TestRoutesToCheckAreBounded(t *testing.T) {
	route := Route{Host: "h", Prefix: "/p/"}
	narrow, narrower := Route{Host: "h", Prefix: "/p/a/"}, Route{Host: "h", Prefix: "/p/a/b/"}
	routes, isComplete := route.RoutesToCheck("/p/a/b/c")
	require.True(t, isComplete)
	require.Equal(t, []RouteID{route.ID(), narrow.ID(), narrower.ID()}, routes)
	_, isComplete = route.RoutesToCheck("/p/" + strings.Repeat("a/", maxNarrowerRoutes))
	require.True(t, isComplete)
	_, isComplete = route.RoutesToCheck("/p/" + strings.Repeat("a/", maxNarrowerRoutes+1))
	require.False(t, isComplete)
}

// Guards against streams of a route that count as begun at its present service because the route allowed no resumption before.
func TestRoutesOfAConfigurationAreThoseOfStreams(t *testing.T) {
	configuration := &serving.Configuration{Routes: []serving.Route{
		{Host: "h", Prefix: "/a/", Kind: serving.KindStream, Splits: []serving.Split{{Service: "one"}, {Service: "two"}}},
		{Host: "H", Prefix: "/b/", Kind: serving.KindStream, Resumable: true, Splits: []serving.Split{{Service: "one"}}},
		{Host: "h", Prefix: "/c/", Splits: []serving.Split{{Service: "one"}}},
	}}
	require.Equal(t, Routes{
		{Host: "h", Prefix: "/a/"}: {"one": true, "two": true}, {Host: "h", Prefix: "/b/"}: {"one": true},
	}, RoutesOf(configuration))
}

// Guards against changes without bounds, and against changes that are dropped while the others count as all.
func TestRouteChangesAreBounded(t *testing.T) {
	changes := NewRouteChanges(-ChangeRetention)
	route := func(number int) Route { return Route{Host: "h", Prefix: fmt.Sprintf("/%d/", number)} }
	for number := range MaxRouteChanges {
		changes.Add(time.Duration(number), map[Route]bool{route(number): true})
	}
	now := time.Duration(MaxRouteChanges)
	haveChanged := func(at time.Duration, number int) bool {
		return changes.HaveChanged(at, []RouteID{1, route(number).ID()})
	}
	require.True(t, haveChanged(now, 0))
	require.False(t, haveChanged(now, MaxRouteChanges))
	require.Negative(t, changes.CompleteSince())
	changes.Add(now, map[Route]bool{route(MaxRouteChanges): true})
	require.Len(t, changes.All(), MaxRouteChanges)
	require.Equal(t, now, changes.CompleteSince())
	require.True(t, haveChanged(now, 0), "any route may have changed")
	require.False(t, haveChanged(now+ChangeRetention, 0))
	changes.Expire(now + ChangeRetention)
	require.Empty(t, changes.All())
}
