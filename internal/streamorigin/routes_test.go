package streamorigin

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Guards against a change of routes that is not noticed, and against routes that count as changed without need.
func TestChangedRoutesAreThoseWhoseRequestsMayGoElsewhere(t *testing.T) {
	at := func(prefix string) Route { return Route{Host: "h", Prefix: prefix} }
	one, two := map[string]bool{"one": true}, map[string]bool{"two": true}
	for name, test := range map[string]struct {
		former, next Routes
		changed      []Route
	}{
		"nothing":                         {Routes{at("/"): one}, Routes{at("/"): one}, nil},
		"the first configuration":         {nil, Routes{at("/"): one, at("/a/"): two}, nil},
		"another service":                 {Routes{at("/"): one, at("/a/"): one}, Routes{at("/"): one, at("/a/"): two}, []Route{at("/a/")}},
		"a split":                         {Routes{at("/"): one}, Routes{at("/"): {"one": true, "two": true}}, []Route{at("/")}},
		"a route of its own":              {Routes{at("/a/"): one}, Routes{at("/a/"): one, at("/b/"): two}, nil},
		"a narrower route":                {Routes{at("/"): one}, Routes{at("/"): one, at("/a/"): two}, []Route{at("/"), at("/a/")}},
		"a narrower route, same service":  {Routes{at("/"): one}, Routes{at("/"): one, at("/a/"): one}, nil},
		"a route is gone":                 {Routes{at("/a/"): one, at("/b/"): one}, Routes{at("/b/"): one}, []Route{at("/a/")}},
		"a narrower route is gone":        {Routes{at("/"): one, at("/a/"): two}, Routes{at("/"): one}, []Route{at("/"), at("/a/")}},
		"a wider route takes over":        {Routes{at("/a/b/"): one}, Routes{at("/a/"): two}, []Route{at("/a/b/"), at("/a/")}},
		"the next wider route":            {Routes{at("/"): two, at("/a/"): one}, Routes{at("/"): two, at("/a/"): one, at("/a/b/"): one}, nil},
		"a route of another host":         {Routes{at("/"): one}, Routes{at("/"): one, {Host: "g", Prefix: "/a/"}: two}, nil},
		"a prefix that is no part of one": {Routes{at("/a/"): one}, Routes{at("/a/"): one, at("/ab/"): two}, nil},
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

// Guards against streams of a route that count as begun at its present service because the route allowed no resumption before.
func TestRoutesOfAConfigurationAreThoseOfStreams(t *testing.T) {
	configuration := &serving.Configuration{Routes: []serving.Route{
		{Host: "h", Prefix: "/a/", Kind: serving.KindStream, Splits: []serving.Split{{Service: "one"}, {Service: "two"}}},
		{Host: "h", Prefix: "/b/", Kind: serving.KindStream, Resumable: true, Splits: []serving.Split{{Service: "one"}}},
		{Host: "h", Prefix: "/c/", Splits: []serving.Split{{Service: "one"}}},
	}}
	require.Equal(t, Routes{
		{Host: "h", Prefix: "/a/"}: {"one": true, "two": true}, {Host: "h", Prefix: "/b/"}: {"one": true},
	}, RoutesOf(configuration))
}

// Guards against changes without bounds, and against changes that are dropped while the others count as all.
func TestRouteChangesAreBounded(t *testing.T) {
	changes := NewRouteChanges(-MaxLifetime)
	route := func(number int) Route { return Route{Host: "h", Prefix: fmt.Sprintf("/%d/", number)} }
	for number := range MaxRouteChanges {
		changes.Add(time.Duration(number), map[Route]bool{route(number): true})
	}
	now := time.Duration(MaxRouteChanges)
	require.True(t, changes.HasChanged(now, route(0).ID(), time.Second))
	require.False(t, changes.HasChanged(now, route(MaxRouteChanges).ID(), time.Second))
	require.Negative(t, changes.CompleteSince())
	changes.Add(now, map[Route]bool{route(MaxRouteChanges): true})
	require.Len(t, changes.All(), MaxRouteChanges)
	require.Equal(t, now, changes.CompleteSince())
	require.True(t, changes.HasChanged(now, route(0).ID(), time.Second), "any route may have changed")
	require.False(t, changes.HasChanged(now+time.Second, route(0).ID(), time.Second))
	changes.Expire(now + MaxLifetime)
	require.Empty(t, changes.All())
}
