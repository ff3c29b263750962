package language

import (
	"google.golang.org/protobuf/reflect/protoreflect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// enumShape is one of a few words, kept as a protobuf enumeration.
type enumShape struct {
	what string
	// words in order of number, from 1.
	words []string
}

var (
	roleShape         = enumShape{what: "a role", words: []string{"prefill", "decode", "mixed"}}
	serviceTypeShape  = enumShape{what: "a type of service", words: []string{"engine", "page"}}
	operatorRoleShape = enumShape{what: "an operator's role", words: []string{"viewer", "operator", "administrator"}}
)

func (s enumShape) describe() string { return s.what + ": " + alternatives(s.words) }

func (s enumShape) parse(scalar *scalarSyntax, _ protoreflect.FieldDescriptor) (protoreflect.Value, *Error) {
	for i, word := range s.words {
		if scalar.Word == word {
			return protoreflect.ValueOfEnum(protoreflect.EnumNumber(i + 1)), nil
		}
	}
	if scalar.Word == "" {
		return protoreflect.Value{}, errorAt(scalar.Pos, "%s is not %s: expected %s", scalar.source(), s.what, alternatives(s.words))
	}
	return protoreflect.Value{}, unknownWord(scalar.Pos, "value", scalar.Word, s.words)
}

func (s enumShape) word(number int32) string {
	if number < 1 || int(number) > len(s.words) {
		return ""
	}
	return s.words[number-1]
}

func (s enumShape) format(value protoreflect.Value) string { return s.word(int32(value.Enum())) }

func (s enumShape) cell(value protoreflect.Value) Value { return TextValue(s.format(value)) }

// RoleName is the language's word for an engine role; empty when unspecified.
func RoleName(role v1.Role) string { return roleShape.word(int32(role)) }

// OperatorRoleName is the language's word for an operator's role.
func OperatorRoleName(role v1.OperatorRole) string { return operatorRoleShape.word(int32(role)) }

// booleanShape is true or false.
type booleanShape struct{}

var booleanWords = []string{"true", "false"}

func (booleanShape) describe() string { return "true or false" }

func (booleanShape) parse(scalar *scalarSyntax, _ protoreflect.FieldDescriptor) (protoreflect.Value, *Error) {
	switch scalar.Word {
	case "true":
		return protoreflect.ValueOfBool(true), nil
	case "false":
		return protoreflect.ValueOfBool(false), nil
	}
	mistake := errorAt(scalar.Pos, "%s is not valid here: expected true or false", scalar.source())
	mistake.Suggestion = suggest(scalar.Word, booleanWords)
	return protoreflect.Value{}, mistake
}

func (booleanShape) format(value protoreflect.Value) string {
	if value.Bool() {
		return "true"
	}
	return "false"
}

func (s booleanShape) cell(value protoreflect.Value) Value { return TextValue(s.format(value)) }
