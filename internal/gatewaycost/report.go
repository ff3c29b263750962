package gatewaycost

import (
	"fmt"
	"io"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	latencyDigits   = 3
	microsPerMilli  = 1000
	microsPerSecond = 1e6
)

// Percentiles of durations in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

func percentiles(times *hdrhistogram.Histogram) Percentiles {
	at := func(quantile float64) float64 { return float64(times.ValueAtQuantile(quantile)) / microsPerMilli }
	return Percentiles{P50: at(50), P99: at(99)}
}

// Report is the result of a run.
type Report struct {
	// DirectPage and GatewayPage are the times of one page request without and with the
	// gateway.
	DirectPage  Percentiles `json:"direct_page_ms"`
	GatewayPage Percentiles `json:"gateway_page_ms"`
	// ProcessorPerPage and ProcessorPerToken are the gateway's processor time in microseconds.
	ProcessorPerPage  float64 `json:"processor_us_per_page"`
	ProcessorPerToken float64 `json:"processor_us_per_token"`
	Tokens            int     `json:"tokens"`
	TokensPerSecond   float64 `json:"tokens_per_second"`
	// Gap is the longest time between two tokens of a stream, GapAfterCut the same when the
	// connections to the engines are cut, and Cuts the total number of cuts.
	Gap         Percentiles `json:"longest_gap_ms"`
	GapAfterCut Percentiles `json:"longest_gap_after_cut_ms"`
	Cuts        int         `json:"cuts"`
}

// Write prints the report.
func (r Report) Write(out io.Writer) {
	fmt.Fprintf(out, "page, direct: p50 %.3f ms, p99 %.3f ms\n", r.DirectPage.P50, r.DirectPage.P99)
	fmt.Fprintf(out, "page, gateway: p50 %.3f ms, p99 %.3f ms\n", r.GatewayPage.P50, r.GatewayPage.P99)
	fmt.Fprintf(out, "time added: p50 %.3f ms, p99 %.3f ms\n", r.GatewayPage.P50-r.DirectPage.P50, r.GatewayPage.P99-r.DirectPage.P99)
	fmt.Fprintf(out, "processor time: %.1f us a page request, %.2f us a streamed token (%d tokens at %.0f a second)\n",
		r.ProcessorPerPage, r.ProcessorPerToken, r.Tokens, r.TokensPerSecond)
	fmt.Fprintf(out, "longest gap between tokens: p50 %.1f ms, p99 %.1f ms\n", r.Gap.P50, r.Gap.P99)
	fmt.Fprintf(out, "longest gap with each link cut after 20 tokens (%d cuts): p50 %.1f ms, p99 %.1f ms\n", r.Cuts, r.GapAfterCut.P50, r.GapAfterCut.P99)
}
