package report

import (
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
)

// WriteText writes the summary as tables for a terminal: one for each scenario, preceded by
// a comparison of the policies over all scenarios if there are several.
func (s Summary) WriteText(out io.Writer) {
	if len(s.Groups) > 1 {
		overview := s.overview()
		writeTable(out, "all scenarios", overview.Header, overview.Rows)
	}
	for _, group := range s.Groups {
		var rows [][]string
		for _, policy := range group.Policies {
			rows = append(rows, policy.tableCells())
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

// tableHeader names the columns of tableCells.
var tableHeader = []string{
	"policy", "seeds", "goodput", "of bound", "of offered", "role changes", "deadline misses", "refused", "cut",
	"first token p50 ms", "first token p99 ms", "between tokens p99 ms", "whole p99 ms",
}

// tableCells returns the row of one policy: medians, followed by minimum and maximum if they differ.
func (p PolicySummary) tableCells() []string {
	ofBound := "–"
	if p.ShareOfBound != nil {
		ofBound = p.ShareOfBound.formatWith(asPercent)
	}
	return []string{
		p.Policy, fmt.Sprint(len(p.Seeds)), p.Goodput.formatWith(asCount), ofBound, p.ShareOfOffered.formatWith(asPercent),
		p.RoleChanges.formatWith(asCount), p.DeadlineMisses.formatWith(asCount), p.Refused.formatWith(asCount), p.Cut.formatWith(asCount),
		p.FirstTokenP50.formatWith(asMilliseconds), p.FirstTokenP99.formatWith(asMilliseconds),
		p.BetweenP99.formatWith(asMilliseconds), p.WholeP99.formatWith(asMilliseconds),
	}
}

func row(cells []string) table.Row {
	created := make(table.Row, len(cells))
	for index, cell := range cells {
		created[index] = cell
	}
	return created
}
