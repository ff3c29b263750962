package forwarding

import (
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

func headerValues(headers []Header) func(string) string {
	values := map[string]string{}
	for _, header := range headers {
		values[header.Name] = header.Value
	}
	return func(name string) string { return values[name] }
}

func TestProgressOutlivesTheHeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		progress := Progress{
			Service: rapid.StringMatching("[a-z0-9-]{1,20}").Draw(t, "service"), Configuration: rapid.Uint64().Draw(t, "configuration"),
			Tenant: rapid.StringMatching("[a-z0-9-]{0,20}").Draw(t, "tenant"), Attempts: rapid.IntRange(0, 9).Draw(t, "attempts"), MayHaveRun: rapid.Bool().Draw(t, "run"),
			Version: streamorigin.Version(rapid.Uint64().Draw(t, "version")),
		}
		decoded, err := ProgressFrom(headerValues(progress.ToHeaders()))
		require.NoError(t, err)
		require.Equal(t, progress, decoded)
	})
}

// Guards against serving a request whose earlier attempts are unknown.
func TestMalformedProgressIsRejected(t *testing.T) {
	whole := Progress{Service: "s", Configuration: 1, Version: 7}.ToHeaders()
	for index, header := range whole {
		if header.Name == HeaderTenant {
			continue // empty for an anonymous client
		}
		for _, value := range []string{"", "-1"} {
			changed := append([]Header(nil), whole...)
			changed[index].Value = value
			if header.Name == HeaderService && value != "" || header.Name == HeaderVersion && value == "" {
				continue
			}
			_, err := ProgressFrom(headerValues(changed))
			require.True(t, trace.IsBadParameter(err), "%s=%q", header.Name, value)
		}
	}
}

// Guards against a promise "not run" that the other relay has not made.
func TestUnknownRefusalPromisesNothing(t *testing.T) {
	require.Equal(t, MayHaveRun, ParseRefusal("something new"))
	for _, each := range []Refusal{NoRefusal, Unable, NotRun, MayHaveRun} {
		require.Equal(t, each, ParseRefusal(string(each)))
	}
}

// Guards against asking relays again and again that cannot serve, while others can.
func TestPeersThatCannotServeArePassedOver(t *testing.T) {
	peers := NewPeers()
	peers.Set([]string{"a", "b"})
	first := func() float64 { return 0 }
	picked, isFound := peers.Pick(0, "s", nil, first)
	require.True(t, isFound)
	require.Equal(t, "a", picked)
	peers.Done(0, "a", "s", CouldNotServe)
	for range 3 {
		picked, isFound = peers.Pick(unableTime-1, "s", nil, first)
		require.True(t, isFound)
		require.Equal(t, "b", picked)
		peers.Done(0, "b", "s", Neutral)
	}
	_, isFound = peers.Pick(unableTime-1, "s", []string{"b"}, first)
	require.False(t, isFound)
	picked, _ = peers.Pick(unableTime, "s", nil, first)
	require.Equal(t, "a", picked)
	peers.Done(unableTime, "a", "s", Unreachable)
	_, isFound = peers.Pick(unableTime+unreachableTime-1, "s", []string{"b"}, first)
	require.False(t, isFound)
	peers.Done(0, "not listed", "s", Served)
}

// Guards against sending all requests of a relay that is cut off to the same peer.
func TestPeersShareTheRequests(t *testing.T) {
	peers := NewPeers()
	peers.Set([]string{"a", "b", "c", "d"})
	state := uint32(1)
	draw := func() float64 { // a linear congruential generator
		state = state*1664525 + 1013904223
		return float64(state>>8) / (1 << 24)
	}
	counts := map[string]int{}
	for range 400 {
		picked, isFound := peers.Pick(0, "s", nil, draw)
		require.True(t, isFound)
		counts[picked]++
	}
	for address, count := range counts {
		require.InDelta(t, 100, count, 10, address)
	}
}

// A peer that has served a request is preferred, so that few requests reach peers that are cut off as well.
func TestProvenPeersArePreferred(t *testing.T) {
	peers := NewPeers()
	peers.Set([]string{"a", "b"})
	_, _ = peers.Pick(0, "s", []string{"a"}, func() float64 { return 0 })
	peers.Done(0, "b", "s", Served)
	draws := []float64{0, 0.9}
	picked, _ := peers.Pick(0, "s", nil, func() float64 { next := draws[0]; draws = draws[1:]; return next })
	require.Equal(t, "b", picked)
	peers.Set([]string{"b"})
	picked, _ = peers.Pick(time.Second, "s", nil, func() float64 { return 0 })
	require.Equal(t, "b", picked)
}

// Guards against requests for a service that is gone everywhere that keep a relay from forwarding requests to other services.
func TestPeersThatLackOneServiceServeOthers(t *testing.T) {
	peers := NewPeers()
	peers.Set([]string{"a"})
	first := func() float64 { return 0 }
	_, isFound := peers.Pick(0, "gone", nil, first)
	require.True(t, isFound)
	peers.Done(0, "a", "gone", CouldNotServe)
	_, isFound = peers.Pick(1, "gone", nil, first)
	require.False(t, isFound)
	_, isFound = peers.Pick(1, "other", nil, first)
	require.True(t, isFound)
	peers.Done(unableTime-1, "a", "other", Unreachable)
	_, isFound = peers.Pick(unableTime, "gone", nil, first)
	require.False(t, isFound)
}
