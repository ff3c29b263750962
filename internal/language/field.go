package language

import (
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// parseInto reads a value into the protobuf message.
func (f *fieldSchema) parseInto(message protoreflect.Message, value *valueSyntax) *Error {
	if f.proto.IsList() != value.IsList {
		if value.IsList {
			return errorAt(value.Pos, "%s takes one value: expected %s", f.word, f.shape.describe())
		}
		return errorAt(value.Pos, "%s takes a list: expected [ ... ] of %s", f.word, f.shape.describe())
	}
	if value.IsList {
		return f.parseList(message, value)
	}
	parsed, mistake := f.shape.parse(value.Scalar, f.proto)
	if mistake != nil {
		return mistake
	}
	if f.least > 0 && parsed.Uint() < f.least {
		return errorAt(value.Pos, "%s is too small: expected %d or more", f.word, f.least)
	}
	message.Set(f.proto, parsed)
	return nil
}

func (f *fieldSchema) parseList(message protoreflect.Message, value *valueSyntax) *Error {
	list := message.Mutable(f.proto).List()
	seen := map[string]bool{}
	for _, scalar := range value.List {
		parsed, mistake := f.shape.parse(scalar, f.proto)
		if mistake != nil {
			return mistake
		}
		if seen[parsed.String()] {
			return errorAt(scalar.Pos, "%s is listed twice", scalar.source())
		}
		seen[parsed.String()] = true
		list.Append(parsed)
	}
	return nil
}

// setStandard gives the field the value that stands when none is given.
func (f *fieldSchema) setStandard(message protoreflect.Message) {
	if f.standard == "" {
		return
	}
	parsed, mistake := f.shape.parse(&scalarSyntax{Pos: lexer.Position{}, Quantity: f.standard}, f.proto)
	if mistake != nil {
		panic("language: standard of " + f.word + ": " + mistake.Message)
	}
	message.Set(f.proto, parsed)
}

// format writes the field's value in canonical spelling.
func (f *fieldSchema) format(message protoreflect.Message) string {
	value := message.Get(f.proto)
	if !f.proto.IsList() {
		return f.shape.format(value)
	}
	list := value.List()
	items := make([]string, list.Len())
	for i := range items {
		items[i] = f.shape.format(list.Get(i))
	}
	return "[" + strings.Join(items, ", ") + "]"
}

// isStandard reports whether the field has the value that stands when none is given.
func (f *fieldSchema) isStandard(message protoreflect.Message) bool {
	if f.standard != "" {
		return f.format(message) == f.standard
	}
	return !message.Has(f.proto)
}

// names lists the names that a field holds.
func (f *fieldSchema) names(message protoreflect.Message) []string {
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

// cell gives the field's value as a cell that queries compare.
func (f *fieldSchema) cell(message protoreflect.Message) Value {
	value := message.Get(f.proto)
	if !f.proto.IsList() {
		return f.shape.cell(value)
	}
	items := make([]string, value.List().Len())
	for i := range items {
		items[i] = f.shape.cell(value.List().Get(i)).Text
	}
	return TextValue(strings.Join(items, ", "))
}
