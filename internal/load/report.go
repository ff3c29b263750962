package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/hazelpitch/hazelpitch/internal/standin/engine"
)

const (
	// Latencies are recorded in microseconds, up to maxLatency, with three significant digits.
	maxLatency      = 2 * time.Minute
	latencyDigits   = 3
	microsPerMilli  = 1000
	maxFailureLines = 10
)

// Report is the result of a run.
type Report struct {
	Deployment string  `json:"deployment"`
	Direct     bool    `json:"direct"`
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`
	Sent       int     `json:"sent"`
	// Goodput is the total worth of the requests that completed within their deadline;
	// Offered is the total worth of all requests sent.
	Goodput float64      `json:"goodput"`
	Offered float64      `json:"offered"`
	Kinds   []KindReport `json:"kinds"`
	Tokens  int          `json:"output_tokens"`
	Cut     int          `json:"cut"`
	Mixed   int          `json:"mixed"`
	Lost    int          `json:"lost"`
	NotSent int          `json:"not_sent"`
	// Engines is what the stand-in engines counted during the run.
	Engines engine.Totals `json:"engines"`
	Audit   Audit         `json:"audit"`
	// Failures describes the first requests that were cut, mixed or lost.
	Failures []string `json:"failures,omitempty"`
}

// KindReport is the result of one kind of request.
type KindReport struct {
	Kind       string  `json:"kind"`
	Sent       int     `json:"sent"`
	Completed  int     `json:"completed"`
	InDeadline int     `json:"in_deadline"`
	Goodput    float64 `json:"goodput"`
	// Refusals counts refusals. Each key is a verdict and an error code, separated by a blank.
	Refusals map[string]int `json:"refusals,omitempty"`
	// RefusalExamples holds the first message for each key of Refusals.
	RefusalExamples map[string]string `json:"refusal_examples,omitempty"`
	Expired         int               `json:"expired"`
	Cut             int               `json:"cut"`
	Mixed           int               `json:"mixed"`
	Lost            int               `json:"lost"`
	FirstByte       Percentiles       `json:"first_byte_ms"`
	Total           Percentiles       `json:"total_ms"`

	worth            float64
	firstByte, total *hdrhistogram.Histogram
}

// Percentiles are latencies of completed requests in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
}

// Failed returns an error if any request was cut, mixed, lost or not sent, got a false
// verdict, or ran twice.
func (r Report) Failed() error {
	if r.Cut+r.Mixed+r.Lost+r.NotSent == 0 && r.Audit.Clean() {
		return nil
	}
	return trace.Errorf("%d cut, %d mixed, %d lost, %d not sent, %d false not-run, %d false ran, %d run twice",
		r.Cut, r.Mixed, r.Lost, r.NotSent, r.Audit.FalseNotRun, r.Audit.FalseRan, r.Audit.Doubled)
}

// summarize aggregates results by kind.
func summarize(results []Result, kinds map[string]Kind) Report {
	byKind := make(map[string]*KindReport)
	var report Report
	for _, result := range results {
		kind := byKind[result.Kind]
		if kind == nil {
			kind = &KindReport{Kind: result.Kind, Refusals: make(map[string]int), RefusalExamples: make(map[string]string), worth: kinds[result.Kind].Worth, firstByte: newHistogram(), total: newHistogram()}
			byKind[result.Kind] = kind
		}
		kind.addResult(result, kinds[result.Kind].Deadline)
		report.addFailure(result)
		report.Tokens += result.Tokens
	}
	for _, kind := range byKind {
		kind.computeFigures()
		report.Sent += kind.Sent
		report.Goodput += kind.Goodput
		report.Offered += kind.worth * float64(kind.Sent)
		report.Cut += kind.Cut
		report.Mixed += kind.Mixed
		report.Lost += kind.Lost
		report.Kinds = append(report.Kinds, *kind)
	}
	sort.Slice(report.Kinds, func(one, other int) bool { return report.Kinds[one].Kind < report.Kinds[other].Kind })
	return report
}

func (r *Report) addFailure(result Result) {
	switch result.Outcome {
	case NotSent:
		r.NotSent++
	case Cut, Mixed, Lost:
		if len(r.Failures) < maxFailureLines {
			r.Failures = append(r.Failures, fmt.Sprintf("%s %s after %v: %d %s %s (prompt %s key %s)", result.Kind, result.Outcome, result.Total.Round(time.Millisecond), result.Status, result.Verdict, result.Detail, result.Prompt, result.Key))
		}
	}
}

func (k *KindReport) addResult(result Result, deadline time.Duration) {
	k.Sent++
	switch result.Outcome {
	case Completed:
		k.Completed++
		if deadline == 0 || result.Total <= deadline {
			k.InDeadline++
		}
		_ = k.firstByte.RecordValue(min(result.FirstByte, maxLatency).Microseconds()) // cannot fail: the value is clamped
		_ = k.total.RecordValue(min(result.Total, maxLatency).Microseconds())
	case Refused:
		name := strings.TrimSpace(result.Verdict + " " + result.Code)
		k.Refusals[name]++
		if k.RefusalExamples[name] == "" {
			k.RefusalExamples[name] = fmt.Sprintf("%d %s (due at %v)", result.Status, result.Detail, result.Due.Round(time.Millisecond))
		}
	case Expired:
		k.Expired++
	case Cut:
		k.Cut++
	case Mixed:
		k.Mixed++
	case Lost:
		k.Lost++
	}
}

func (k *KindReport) computeFigures() {
	k.Goodput = k.worth * float64(k.InDeadline)
	k.FirstByte, k.Total = percentiles(k.firstByte), percentiles(k.total)
}

func percentiles(histogram *hdrhistogram.Histogram) Percentiles {
	at := func(quantile float64) float64 { return float64(histogram.ValueAtQuantile(quantile)) / microsPerMilli }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99)}
}

// Write prints the report as tables.
func (r Report) Write(out io.Writer) {
	kinds := table.NewWriter()
	kinds.SetOutputMirror(out)
	kinds.SetStyle(table.StyleLight)
	kinds.AppendHeader(table.Row{"kind", "sent", "completed", "in deadline", "goodput", "refused", "expired", "cut", "mixed", "lost", "first byte p50/p95/p99 ms", "total p50/p95/p99 ms"})
	for _, kind := range r.Kinds {
		kinds.AppendRow(table.Row{kind.Kind, kind.Sent, kind.Completed, kind.InDeadline, fmt.Sprintf("%.1f", kind.Goodput),
			refusalLines(kind.Refusals), kind.Expired, kind.Cut, kind.Mixed, kind.Lost, kind.FirstByte.String(), kind.Total.String()})
	}
	kinds.Render()
	fmt.Fprintf(out, "goodput %.1f of %.1f offered (%.1f%%), %d output tokens in %.1f s\n", r.Goodput, r.Offered, 100*r.Goodput/max(r.Offered, 1e-9), r.Tokens, r.Seconds)
	fmt.Fprintf(out, "role changes %d, cut requests %d, mixed %d, lost %d, false not-run %d, false ran %d, run twice %d\n",
		r.Engines.RoleChanges, r.Cut+r.Engines.CutByChange, r.Mixed, r.Lost, r.Audit.FalseNotRun, r.Audit.FalseRan, r.Audit.Doubled)
	fmt.Fprintf(out, "engines: %d runs started, %d finished, %d prompts read for another engine, %d caches imported, %d cancelled, %d refused\n",
		r.Engines.Started, r.Engines.Finished, r.Engines.Prefilled, r.Engines.Imported, r.Engines.Cancelled, r.Engines.Refused)
	for _, kind := range r.Kinds {
		for name, example := range kind.RefusalExamples {
			fmt.Fprintf(out, "  %s refused, %s: %s\n", kind.Kind, name, example)
		}
	}
	for _, line := range append(append([]string(nil), r.Failures...), r.Audit.Findings...) {
		fmt.Fprintln(out, "  "+line)
	}
}

// String returns the three percentiles, separated by slashes.
func (p Percentiles) String() string { return fmt.Sprintf("%.1f/%.1f/%.1f", p.P50, p.P95, p.P99) }

func refusalLines(counts map[string]int) string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for index, name := range names {
		names[index] = fmt.Sprintf("%d %s", counts[name], name)
	}
	return strings.Join(names, "\n")
}
