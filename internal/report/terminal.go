package report

import (
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
)

// WriteText writes the summary as tables for a terminal: one for each scenario, and
// before them, when there are several, one that compares the policies over all.
func (s Summary) WriteText(out io.Writer) {
	if len(s.Groups) > 1 {
		overview := s.overview()
		writeTable(out, "all scenarios", overview.Header, overview.Rows)
	}
	for _, group := range s.Groups {
		var rows [][]string
		for _, policy := range group.Policies {
			rows = append(rows, policy.cells())
		}
		writeTable(out, group.title(), tableHeader, rows)
	}
}

func writeTable(out io.Writer, title string, header []string, rows [][]string) {
	writer := table.NewWriter()
	writer.SetOutputMirror(out)
	writer.SetStyle(table.StyleLight)
	writer.SetTitle("%s", title)
	writer.AppendHeader(row(header))
	for _, cells := range rows {
		writer.AppendRow(row(cells))
	}
	writer.Render()
}

func (g Group) title() string { return fmt.Sprintf("%s / %s", g.Deployment, g.Scenario) }

// tableHeader names the columns of cells.
var tableHeader = []string{
	"policy", "seeds", "goodput", "of bound", "of offered", "role changes", "deadline misses", "refused", "cut",
	"first token p50 ms", "first token p99 ms", "between tokens p99 ms", "whole p99 ms",
}

// cells are the row of one policy: medians, with the lowest and highest behind them.
func (p PolicySummary) cells() []string {
	ofBound := "–"
	if p.ShareOfBound != nil {
		ofBound = p.ShareOfBound.format(asPercent)
	}
	return []string{
		p.Policy, fmt.Sprint(len(p.Seeds)), p.Goodput.format(asCount), ofBound, p.ShareOfOffered.format(asPercent),
		p.RoleChanges.format(asCount), p.DeadlineMisses.format(asCount), p.Refused.format(asCount), p.Cut.format(asCount),
		p.FirstTokenP50.format(asMilliseconds), p.FirstTokenP99.format(asMilliseconds),
		p.BetweenP99.format(asMilliseconds), p.WholeP99.format(asMilliseconds),
	}
}

func row(cells []string) table.Row {
	made := make(table.Row, len(cells))
	for index, cell := range cells {
		made[index] = cell
	}
	return made
}
