package language

import (
	"github.com/alecthomas/participle/v2/lexer"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// declaration is one declared object and where its parts stand.
type declaration struct {
	object   *v1.Object
	schema   *objectSchema
	position lexer.Position
	// fields holds the place of each field that was given, by its word.
	fields map[string]lexer.Position
}

// at is the place of a field, or of the declaration when the field was not given.
func (d *declaration) at(field string) lexer.Position {
	if position, given := d.fields[field]; given {
		return position
	}
	return d.position
}
