package language

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// buildObjectTables returns a table for each type of declared object.
func buildObjectTables() []*table {
	var result []*table
	for _, schema := range schemas {
		result = append(result, schema.objectTable())
	}
	return result
}

// objectTable has columns for the name, each field, and the revision that last changed the object.
func (s *objectSchema) objectTable() *table {
	columns := []column{textColumn("name", "Name of the "+s.keyword+".")}
	for _, field := range s.fields {
		column := column{name: field.name, purpose: field.purpose}
		if !field.proto.IsList() {
			switch fieldCodec := field.codec.(type) {
			case wholeNumberCodec:
				column.numeric, column.units = true, fieldCodec.units
			case decimalCodec:
				column.numeric = true
			}
		}
		columns = append(columns, column)
	}
	columns = append(columns,
		numberColumn("revision", "Revision that last changed it."),
		textColumn("since", "Time of that revision."))
	return &table{name: s.tableName, purpose: "Declared " + s.tableName + " in force.", columns: columns, rows: s.objectRows}
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
