package speeds

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeEngines answers probes with one relative time and counts them by engine.
type fakeEngines struct {
	relativeTime float64
	err          error
	probes       map[uint64]int
}

func (f *fakeEngines) targets(count uint64) []Target {
	var targets []Target
	for hash := uint64(1); hash <= count; hash++ {
		targets = append(targets, Target{Service: "engines", Hash: hash, Probe: func(context.Context) (float64, error) {
			f.probes[hash]++
			return f.relativeTime, f.err
		}})
	}
	return targets
}

// newTestProber returns a prober that probes one engine at a time, at a time that the test sets.
func newTestProber(engines *fakeEngines, now *time.Duration) *Prober {
	return &Prober{
		Speeds: New(), Now: func() time.Duration { return *now }, Targets: func() []Target { return engines.targets(3) },
		silentUntil: map[string]time.Duration{}, failedUntil: map[uint64]time.Duration{},
	}
}

// probeAll probes the due engines one after the other.
func probeAll(t *testing.T, prober *Prober) {
	for _, target := range prober.due(prober.Targets()) {
		prober.probe(t.Context(), target)
	}
}

// Guards against probes of services whose engines do not report their speed: one engine is asked once in a long while.
func TestEnginesWithoutReportsAreAskedOnce(t *testing.T) {
	engines, now := &fakeEngines{probes: map[uint64]int{}}, time.Second
	prober := newTestProber(engines, &now)
	for ; now < silentInterval; now += checkInterval {
		probeAll(t, prober)
	}
	require.Equal(t, map[uint64]int{1: 1}, engines.probes)
	require.False(t, prober.Speeds.HasReports("engines"))
}

// Guards against engines whose speed is not known, and against probes of engines that report it by themselves.
func TestEnginesAreAskedUnlessTheyReport(t *testing.T) {
	engines, now := &fakeEngines{relativeTime: 0.7, probes: map[uint64]int{}}, time.Second
	prober := newTestProber(engines, &now)
	probeAll(t, prober)
	require.Equal(t, map[uint64]int{1: 1}, engines.probes, "the first one shows whether engines report")
	probeAll(t, prober)
	require.Equal(t, map[uint64]int{1: 1, 2: 1, 3: 1}, engines.probes)
	now += probeInterval
	prober.Speeds.ObserveReport(now, "engines", 2, 1.75)
	probeAll(t, prober)
	require.Equal(t, map[uint64]int{1: 2, 2: 1, 3: 2}, engines.probes)
	require.True(t, prober.Speeds.IsSlowedDown(now, "engines", 2))
}

// Guards against an engine that does not answer and is asked again and again.
func TestEnginesThatDoNotAnswerAreLeftAlone(t *testing.T) {
	engines, now := &fakeEngines{err: errors.New("refused"), probes: map[uint64]int{}}, time.Second
	prober := newTestProber(engines, &now)
	for range 10 {
		probeAll(t, prober)
	}
	require.Equal(t, map[uint64]int{1: 1, 2: 1, 3: 1}, engines.probes)
	now += failedInterval
	probeAll(t, prober)
	require.Equal(t, 2, engines.probes[1])
}
