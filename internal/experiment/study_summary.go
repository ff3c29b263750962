package experiment

import (
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
)

// WriteSummary writes a table with one row per run.
func WriteSummary(out io.Writer, runs []*Run) {
	writer := table.NewWriter()
	writer.SetOutputMirror(out)
	writer.AppendHeader(table.Row{
		"scenario", "seed", "policy", "goodput", "of offered", "of bound", "changes", "missed", "refused", "cut",
		"first token p50/p99 ms", "between tokens p50/p99 ms",
	})
	for _, run := range runs {
		writer.AppendRow(table.Row{
			run.Scenario, run.Seed, run.Policy, fmt.Sprintf("%.0f", run.Goodput), percent(run.Goodput, run.OfferedWorth),
			boundShare(run), run.RoleChanges, run.DeadlineMisses, run.Refused, run.Cut,
			fmt.Sprintf("%.0f/%.0f", run.Latencies.FirstToken.P50, run.Latencies.FirstToken.P99),
			fmt.Sprintf("%.1f/%.1f", run.Latencies.BetweenTokens.P50, run.Latencies.BetweenTokens.P99),
		})
	}
	writer.Render()
}

func boundShare(run *Run) string {
	if run.BoundGoodput == nil {
		return "-"
	}
	return percent(run.Goodput, *run.BoundGoodput)
}

func percent(part, whole float64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*part/whole)
}
