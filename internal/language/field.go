package language

import (
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// parseInto parses a value and stores it in the protobuf message.
func (f *fieldSchema) parseInto(message protoreflect.Message, value *valueSyntax) *Error {
	if f.proto.IsList() != value.IsList {
		if value.IsList {
			return errorAt(value.Pos, "%s takes one value: expected %s", f.name, f.codec.describe())
		}
		return errorAt(value.Pos, "%s takes a list: expected [ ... ] of %s", f.name, f.codec.describe())
	}
	if value.IsList {
		return f.parseList(message, value)
	}
	parsed, mistake := f.codec.parse(value.Scalar, f.proto)
	if mistake != nil {
		return mistake
	}
	if f.minimum > 0 && parsed.Uint() < f.minimum {
		return errorAt(value.Pos, "%s is too small: expected %d or more", f.name, f.minimum)
	}
	message.Set(f.proto, parsed)
	return nil
}

func (f *fieldSchema) parseList(message protoreflect.Message, value *valueSyntax) *Error {
	list := message.Mutable(f.proto).List()
	listed := map[string]bool{}
	for _, scalar := range value.List {
		parsed, mistake := f.codec.parse(scalar, f.proto)
		if mistake != nil {
			return mistake
		}
		if listed[parsed.String()] {
			return errorAt(scalar.Pos, "%s is listed twice", scalar.source())
		}
		listed[parsed.String()] = true
		list.Append(parsed)
	}
	return nil
}

// setDefault stores the field's default value.
func (f *fieldSchema) setDefault(message protoreflect.Message) {
	if f.defaultValue == "" {
		return
	}
	parsed, mistake := f.codec.parse(&scalarSyntax{Pos: lexer.Position{}, Quantity: f.defaultValue}, f.proto)
	if mistake != nil {
		panic("language: standard of " + f.name + ": " + mistake.Message)
	}
	message.Set(f.proto, parsed)
}

// format writes the field's value in canonical spelling.
func (f *fieldSchema) format(message protoreflect.Message) string {
	value := message.Get(f.proto)
	if !f.proto.IsList() {
		return f.codec.format(value)
	}
	list := value.List()
	items := make([]string, list.Len())
	for i := range items {
		items[i] = f.codec.format(list.Get(i))
	}
	return "[" + strings.Join(items, ", ") + "]"
}

// isDefault reports whether the field has its default value.
func (f *fieldSchema) isDefault(message protoreflect.Message) bool {
	if f.defaultValue != "" {
		return f.format(message) == f.defaultValue
	}
	return !message.Has(f.proto)
}

// referencedNames lists the names in a field's value.
func (f *fieldSchema) referencedNames(message protoreflect.Message) []string {
	value := message.Get(f.proto)
	if !f.proto.IsList() {
		return []string{value.String()}
	}
	names := make([]string, value.List().Len())
	for i := range names {
		names[i] = value.List().Get(i).String()
	}
	return names
}

// cell returns the field's value as a table cell that queries can compare.
func (f *fieldSchema) cell(message protoreflect.Message) Value {
	value := message.Get(f.proto)
	if !f.proto.IsList() {
		return f.codec.cell(value)
	}
	items := make([]string, value.List().Len())
	for i := range items {
		items[i] = f.codec.cell(value.List().Get(i)).Text
	}
	return TextValue(strings.Join(items, ", "))
}
