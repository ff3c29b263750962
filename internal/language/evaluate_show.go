package language

import (
	"cmp"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

func (s Show) evaluate(view View) (*result, error) {
	table := tableByName(s.Table)
	if table == nil {
		return nil, trace.BadParameter("unknown table %q", s.Table)
	}
	rows := table.rows(view)
	if s.OfType != "" {
		rows = filterRows(rows, table, Condition{Column: s.OfType, Operator: "=", Value: TextValue(s.OfName)})
	}
	for _, condition := range s.Conditions {
		rows = filterRows(rows, table, condition)
	}
	if s.OrderBy != "" {
		sortRows(rows, table.columnIndex(s.OrderBy), s.Descending)
	}
	if s.Last > 0 {
		rows = rows[max(0, len(rows)-s.Last):]
	}
	return &result{columns: table.columnNames(), rows: rows}, nil
}

// filterRows returns the rows that satisfy the condition.
func filterRows(rows [][]Value, table *table, condition Condition) [][]Value {
	index := table.columnIndex(condition.Column)
	var matched [][]Value
	for _, row := range rows {
		if condition.matches(row[index]) {
			matched = append(matched, row)
		}
	}
	return matched
}

// matches compares a cell with the condition's value. A numeric cell whose number is unknown satisfies
// no comparison.
func (c Condition) matches(cell Value) bool {
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

// sortRows sorts rows in place by one column, given by its index; equal rows keep their order.
func sortRows(rows [][]Value, index int, descending bool) {
	slices.SortStableFunc(rows, func(a, b []Value) int {
		if descending {
			a, b = b, a
		}
		return compareCells(a[index], b[index])
	})
}
