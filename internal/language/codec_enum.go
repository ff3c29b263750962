package language

import (
	"google.golang.org/protobuf/reflect/protoreflect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// enumCodec handles the values of a protobuf enumeration.
type enumCodec struct {
	description string
	// names lists the values' names in the order of their numbers, from 1.
	names []string
}

var (
	roleCodec         = enumCodec{description: "a role", names: []string{"prefill", "decode", "mixed"}}
	serviceTypeCodec  = enumCodec{description: "a type of service", names: []string{"engine", "page"}}
	operatorRoleCodec = enumCodec{description: "an operator's role", names: []string{"viewer", "operator", "administrator"}}
)

func (c enumCodec) describe() string { return c.description + ": " + joinAlternatives(c.names) }

func (c enumCodec) parse(scalar *scalarSyntax, _ protoreflect.FieldDescriptor) (protoreflect.Value, *Error) {
	for i, word := range c.names {
		if scalar.Word == word {
			return protoreflect.ValueOfEnum(protoreflect.EnumNumber(i + 1)), nil
		}
	}
	if scalar.Word == "" {
		return protoreflect.Value{}, errorAt(scalar.Pos, "%s is not %s: expected %s", scalar.source(), c.description, joinAlternatives(c.names))
	}
	return protoreflect.Value{}, unknownWordError(scalar.Pos, "value", scalar.Word, c.names)
}

func (c enumCodec) name(number int32) string {
	if number < 1 || int(number) > len(c.names) {
		return ""
	}
	return c.names[number-1]
}

func (c enumCodec) format(value protoreflect.Value) string { return c.name(int32(value.Enum())) }

func (c enumCodec) cell(value protoreflect.Value) Value { return TextValue(c.format(value)) }

// RoleName returns the language's name for an engine role; empty when unspecified.
func RoleName(role v1.Role) string { return roleCodec.name(int32(role)) }

// OperatorRoleName returns the language's name for an operator's role; empty when unspecified.
func OperatorRoleName(role v1.OperatorRole) string { return operatorRoleCodec.name(int32(role)) }

// booleanCodec handles true and false.
type booleanCodec struct{}

var booleanLiterals = []string{"true", "false"}

func (booleanCodec) describe() string { return "true or false" }

func (booleanCodec) parse(scalar *scalarSyntax, _ protoreflect.FieldDescriptor) (protoreflect.Value, *Error) {
	switch scalar.Word {
	case "true":
		return protoreflect.ValueOfBool(true), nil
	case "false":
		return protoreflect.ValueOfBool(false), nil
	}
	mistake := errorAt(scalar.Pos, "%s is not valid here: expected true or false", scalar.source())
	mistake.Suggestion = suggestWord(scalar.Word, booleanLiterals)
	return protoreflect.Value{}, mistake
}

func (booleanCodec) format(value protoreflect.Value) string {
	if value.Bool() {
		return "true"
	}
	return "false"
}

func (c booleanCodec) cell(value protoreflect.Value) Value { return TextValue(c.format(value)) }
