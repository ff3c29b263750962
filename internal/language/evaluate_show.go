package language

import (
	"cmp"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

func (s Show) evaluate(view View) (*result, error) {
	table := tableByWord(s.Table)
	if table == nil {
		return nil, trace.BadParameter("unknown table %q", s.Table)
	}
	rows := table.rows(view)
	if s.OfType != "" {
		rows = matching(rows, table, Condition{Column: s.OfType, Operator: "=", Value: TextValue(s.OfName)})
	}
	for _, condition := range s.Conditions {
		rows = matching(rows, table, condition)
	}
	if s.OrderBy != "" {
		sortRows(rows, table.column(s.OrderBy), s.Descending)
	}
	if s.Last > 0 {
		rows = rows[max(0, len(rows)-s.Last):]
	}
	return &result{columns: table.columnWords(), rows: rows}, nil
}

// matching keeps the rows that fulfil the condition.
func matching(rows [][]Value, table *table, condition Condition) [][]Value {
	index := table.column(condition.Column)
	var kept [][]Value
	for _, row := range rows {
		if condition.holds(row[index]) {
			kept = append(kept, row)
		}
	}
	return kept
}

// holds compares a cell with the condition's value. A cell without a known number
// fulfils no comparison of numbers.
func (c Condition) holds(cell Value) bool {
	if c.Operator == "~" {
		return strings.Contains(cell.Text, c.Value.Text)
	}
	if cell.Numeric && cell.Text == "" {
		return false
	}
	order := compareCells(cell, c.Value)
	switch c.Operator {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	case ">=":
		return order >= 0
	}
	return false
}

func compareCells(a, b Value) int {
	if a.Numeric && b.Numeric {
		return cmp.Compare(a.Number, b.Number)
	}
	return strings.Compare(a.Text, b.Text)
}

// sortRows sorts in place; rows that are equal keep their order.
func sortRows(rows [][]Value, index int, descending bool) {
	slices.SortStableFunc(rows, func(a, b []Value) int {
		if descending {
			a, b = b, a
		}
		return compareCells(a[index], b[index])
	})
}
