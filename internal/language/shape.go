package language

import (
	"google.golang.org/protobuf/reflect/protoreflect"
)

// shape is the type of a field's value as it is written: it reads, writes and
// compares one scalar of the field.
type shape interface {
	// describe names the shape for errors and the reference page.
	describe() string
	// parse reads a scalar as a value of the protobuf field.
	parse(scalar *scalarSyntax, field protoreflect.FieldDescriptor) (protoreflect.Value, *Error)
	// format writes a value of the protobuf field in canonical spelling.
	format(value protoreflect.Value) string
	// cell gives a value of the protobuf field as a cell that queries compare.
	cell(value protoreflect.Value) Value
}
