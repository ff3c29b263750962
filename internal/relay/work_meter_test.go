package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Streams count while they run, not only at their end: some run for many seconds.
func TestStreamsCountAsWorkWhileTheyRun(t *testing.T) {
	meter := newWorkMeter()
	first := meter.run(0, "service", 4)
	second := meter.run(500*time.Millisecond, "service", 4)
	report := meter.report(time.Second)
	require.Len(t, report, 1)
	require.EqualValues(t, 250+125, report[0].GetDecodeMs())
	first(1500 * time.Millisecond)
	require.EqualValues(t, 125+250, meter.report(2 * time.Second)[0].GetDecodeMs())
	second(2 * time.Second)
	require.Zero(t, meter.report(3 * time.Second)[0].GetDecodeMs())
}

// What is refused for want of readers was asked for all the same: the plan of the stages needs
// to know of it.
func TestRefusedPromptsCountAsWork(t *testing.T) {
	reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
	decoder := startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
	relay := newTestRelay(t, route(stream(true)), reader, decoder)
	relay.engineOf("reader").begin(placement.Reading(100_000, 0).Plus(placement.Work{Prompts: 5}))
	require.Equal(t, 503, relay.client(t).do("POST", "/path/", "x", longPrompt...).status)
	require.Empty(t, reader.seen())
	require.NotZero(t, relay.work.services["service"].prefill)
}

// Slots are filled by the runs that last: short ones among them tell little.
func TestResidenceGoesByTheRunsThatFillSlots(t *testing.T) {
	meter := newWorkMeter()
	require.Zero(t, meter.residence("service"))
	for index := range 400 {
		took := 10 * time.Millisecond
		if index%4 == 0 {
			took = 4 * time.Second
		}
		meter.run(0, "service", 4)(took)
	}
	require.InDelta(t, 2, meter.residence("service").Seconds(), 0.05)
}
