package language

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// objectTables makes the table of each type of declared object.
func objectTables() []*table {
	var result []*table
	for _, schema := range schemas {
		result = append(result, schema.objectTable())
	}
	return result
}

// objectTable has the name, each field, and the revision that changed the object.
func (s *objectSchema) objectTable() *table {
	columns := []column{text("name", "Name of the "+s.word+".")}
	for _, field := range s.fields {
		column := column{word: field.word, purpose: field.purpose}
		if !field.proto.IsList() {
			switch shape := field.shape.(type) {
			case wholeShape:
				column.numeric, column.units = true, shape.units
			case decimalShape:
				column.numeric = true
			}
		}
		columns = append(columns, column)
	}
	columns = append(columns,
		number("revision", "Revision that last changed it."),
		text("since", "Time of that revision."))
	return &table{word: s.table, purpose: "Declared " + s.table + " in force.", columns: columns, rows: s.objectRows}
}

func (s *objectSchema) objectRows(view View) [][]Value {
	var rows [][]Value
	for _, object := range view.Objects() {
		if object.GetKey().GetType() == s.objectType && !object.GetDeleted() {
			rows = append(rows, s.objectRow(object))
		}
	}
	return rows
}

func (s *objectSchema) objectRow(object *v1.Object) []Value {
	message := s.message(object, false)
	row := []Value{TextValue(object.GetKey().GetName())}
	for _, field := range s.fields {
		row = append(row, field.cell(message))
	}
	return append(row, countCell(object.GetRevision()), timeCell(object.GetAcceptedAtMs()))
}
