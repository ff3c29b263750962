package language

import (
	"google.golang.org/protobuf/reflect/protoreflect"
)

// codec parses, formats and compares one scalar of a field, according to the type of the field's value.
type codec interface {
	// describe returns the expected input for errors and the reference page.
	describe() string
	// parse converts a scalar to a value of the protobuf field.
	parse(scalar *scalarSyntax, field protoreflect.FieldDescriptor) (protoreflect.Value, *Error)
	// format writes a value of the protobuf field in canonical spelling.
	format(value protoreflect.Value) string
	// cell converts a value of the protobuf field to a table cell that queries can compare.
	cell(value protoreflect.Value) Value
}
