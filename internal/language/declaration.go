package language

import (
	"github.com/alecthomas/participle/v2/lexer"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// declaration is one parsed object with the source positions of its fields.
type declaration struct {
	object   *v1.Object
	schema   *objectSchema
	position lexer.Position
	// fields maps each field that was given to the position of its value.
	fields map[string]lexer.Position
}

// positionOf returns the position of a field, or of the whole declaration when the field was not given.
func (d *declaration) positionOf(field string) lexer.Position {
	if position, given := d.fields[field]; given {
		return position
	}
	return d.position
}
