package report

import (
	"encoding/csv"
	"io"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/experiment"
)

var csvHeader = []string{
	"deployment", "scenario", "policy", "seed", "length_seconds", "offered_worth", "goodput", "bound_goodput",
	"role_changes", "role_changes_ordered", "requests", "completed", "deadline_misses", "refused", "cut",
	"first_token_p50_ms", "first_token_p90_ms", "first_token_p99_ms",
	"between_tokens_p50_ms", "between_tokens_p90_ms", "between_tokens_p99_ms",
	"whole_p50_ms", "whole_p90_ms", "whole_p99_ms",
}

// WriteCSV writes a header and one row for each run. The column of a bound that was not
// computed is empty.
func WriteCSV(out io.Writer, runs []experiment.Run) error {
	writer := csv.NewWriter(out)
	rows := [][]string{csvHeader}
	for _, run := range runs {
		rows = append(rows, csvRow(run))
	}
	return trace.Wrap(writer.WriteAll(rows))
}

func csvRow(run experiment.Run) []string {
	bound := ""
	if run.BoundGoodput != nil {
		bound = decimal(*run.BoundGoodput)
	}
	row := []string{
		run.Deployment, run.Scenario, runLabel(run), strconv.FormatUint(run.Seed, 10),
		decimal(run.LengthSeconds), decimal(run.OfferedWorth), decimal(run.Goodput), bound,
	}
	for _, count := range []int{run.RoleChanges, run.RoleChangesOrdered, run.Requests, run.Completed, run.DeadlineMisses, run.Refused, run.Cut} {
		row = append(row, strconv.Itoa(count))
	}
	for _, latencies := range []experiment.Percentiles{run.Latencies.FirstToken, run.Latencies.BetweenTokens, run.Latencies.Whole} {
		row = append(row, decimal(latencies.P50), decimal(latencies.P90), decimal(latencies.P99))
	}
	return row
}

func decimal(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }
