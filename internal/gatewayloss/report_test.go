package gatewayloss

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/load"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

var origin = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return origin.Add(time.Duration(seconds * float64(time.Second)))
}

// answer returns a result that began and ended at the given seconds.
func answer(gateway string, outcome load.Outcome, began, ended float64) load.Result {
	return load.Result{Gateway: gateway, Outcome: outcome, Ended: at(ended), Total: at(ended).Sub(at(began))}
}

// TestClassify checks that only an outage of the answer's own gateway at that time explains an
// incomplete answer, and that a stopped gateway explains none that had begun.
func TestClassify(t *testing.T) {
	kill := []outage{{fault: killGateway, gateway: "a", from: at(10), until: at(12)}}
	stop := []outage{{fault: stopGateway, gateway: "a", from: at(10), until: at(12)}}
	tests := []struct {
		name    string
		result  load.Result
		outages []outage
		want    classification
	}{
		{"whole", answer("a", load.Completed, 9, 13), kill, complete},
		{"refused", answer("a", load.Refused, 9, 13), kill, complete},
		{"cut by the kill", answer("a", load.Cut, 9, 10.1), kill, lostWithGateway},
		{"lost by the kill", answer("a", load.Lost, 9, 10.1), kill, lostWithGateway},
		{"sent while away", answer("a", load.Lost, 11, 11.1), kill, notConnected},
		{"cut, sent while away", answer("a", load.Cut, 11, 11.1), kill, wronglyCut},
		{"cut before the kill", answer("a", load.Cut, 8, 9), kill, wronglyCut},
		{"cut after it was back", answer("a", load.Cut, 12.5, 13), kill, wronglyCut},
		{"cut at another gateway", answer("b", load.Cut, 9, 10.1), kill, wronglyCut},
		{"cut by a stop", answer("a", load.Cut, 9, 10.1), stop, wronglyCut},
		{"lost by a stop", answer("a", load.Lost, 9, 10.1), stop, wronglyCut},
		{"sent while stopped", answer("a", load.Lost, 11, 11.1), stop, notConnected},
		{"no outage", answer("a", load.Lost, 9, 10), nil, wronglyCut},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, classify(test.result, test.outages))
		})
	}
}

// TestReport checks what makes a run fail and how attempts with a key are counted.
func TestReport(t *testing.T) {
	keyed := func(outcome load.Outcome, final verdict.Verdict) load.Result {
		result := answer("a", outcome, 11, 11.1)
		result.Key, result.Verdict = "k", final.String()
		return result
	}
	kill := []outage{{fault: killGateway, gateway: "a", from: at(10), until: at(12)}}
	tests := []struct {
		name    string
		results []load.Result
		want    Report
		fails   bool
	}{
		{"settled", []load.Result{keyed(load.Lost, verdict.MayHaveRun), keyed(load.Completed, verdict.Ran)},
			Report{NotConnected: 1, Resent: 1, Settled: 1}, false},
		{"unknown", []load.Result{keyed(load.Lost, verdict.MayHaveRun), keyed(load.Refused, verdict.MayHaveRun)},
			Report{NotConnected: 1, Resent: 1, Unknown: 1}, false},
		{"unsettled", []load.Result{keyed(load.Lost, verdict.MayHaveRun), keyed(load.Refused, verdict.NotRun)},
			Report{NotConnected: 1, Resent: 1, Unsettled: 1}, true},
		{"never lost", []load.Result{keyed(load.Completed, verdict.Ran), keyed(load.Completed, verdict.Ran)}, Report{}, false},
		{"wrongly cut", []load.Result{answer("b", load.Cut, 9, 10)}, Report{WronglyCut: 1}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var report Report
			report.addResults(test.results, kill)
			require.Equal(t, test.fails, report.Failed() != nil)
			report.Findings = nil
			require.Equal(t, test.want, report)
		})
	}
	require.Error(t, Report{Faults: []Fault{{Kind: string(stopGateway)}}}.Failed(), "a stop that needed a kill")
	require.Error(t, Report{Load: load.Report{Audit: load.Audit{FalseNotRun: 1}}}.Failed())
}

func TestGaugeValue(t *testing.T) {
	text := "# HELP a_requests_in_flight x\n# TYPE a_requests_in_flight gauge\na_requests_in_flight{zone=\"z\"} 7\nb 1\n"
	require.Equal(t, 7, gaugeValue(text, "requests_in_flight"))
	require.Equal(t, -1, gaugeValue(text, "none"))
}
