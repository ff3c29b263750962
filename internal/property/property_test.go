package property

import (
	"flag"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// warmUp starts, outside of all bubbles, the goroutines that a process starts only once: fasthttp's clock for the Date
// header, and the runtime's for signals. A goroutine that starts within a bubble would belong to it.
var warmUp = sync.OnceFunc(func() {
	_ = (&fasthttp.ResponseHeader{}).Header()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	signal.Stop(signals)
})

// run does one run in a bubble.
func run(t *testing.T, options Options) *Report {
	warmUp()
	var report *Report
	synctest.Test(t, func(t *testing.T) {
		var err error
		report, err = Run(options)
		require.NoError(t, err)
	})
	return report
}

// seeds is the number of runs of TestPromisesHold. A longer run:
//
//	go test ./internal/property -run TestPromisesHold -v -seeds 200 -requests 25
var (
	seeds    = flag.Int("seeds", 12, "number of runs")
	requests = flag.Int("requests", 10, "requests of each caller in a run")
)

func TestPromisesHold(t *testing.T) {
	total := &Report{Faults: map[string]int{}, Verdicts: map[string]int{}}
	for seed := range uint64(*seeds) {
		report := run(t, Options{Seed: seed + 1, Requests: *requests, Counts: DrawCounts(seed + 1)})
		require.Empty(t, report.Violations, "seed %d", seed+1)
		total.Add(report)
	}
	require.NotEmpty(t, total.Faults)
	t.Log(total)
}
