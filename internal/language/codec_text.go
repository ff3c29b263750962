package language

import (
	"regexp"
	"strconv"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// textCodec handles texts that must match a pattern as a whole.
type textCodec struct {
	description string
	pattern     *regexp.Regexp
	// allowsBareWord omits the quotes in canonical spelling where the text is a valid word.
	allowsBareWord bool
}

// nameRule describes namePattern.
const nameRule = "letters, digits, '.', '_' and '-', 128 at most"

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9_.-]{0,127}$`)

	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

	nameCodec    = textCodec{description: "a name", pattern: namePattern, allowsBareWord: true}
	versionCodec = textCodec{description: "a version in quotes", pattern: regexp.MustCompile(`^[^\x00-\x1f]{1,128}$`)}
	pathCodec    = textCodec{description: `a path prefix such as "/avisos"`, pattern: regexp.MustCompile(`^/[\x21-\x7e]{0,255}$`)}
	hashCodec    = textCodec{description: "a SHA-256 hash as 64 hexadecimal digits in quotes", pattern: hashPattern}
)

func (c textCodec) describe() string { return c.description }

func (c textCodec) parse(scalar *scalarSyntax, _ protoreflect.FieldDescriptor) (protoreflect.Value, *Error) {
	text := scalar.Word
	if scalar.Text != nil {
		var mistake *Error
		if text, mistake = unquote(scalar.Pos, *scalar.Text); mistake != nil {
			return protoreflect.Value{}, mistake
		}
	}
	if !c.pattern.MatchString(text) {
		return protoreflect.Value{}, errorAt(scalar.Pos, "%s is not valid here: expected %s", scalar.source(), c.description)
	}
	return protoreflect.ValueOfString(text), nil
}

func (c textCodec) format(value protoreflect.Value) string {
	if c.allowsBareWord {
		return quoteName(value.String())
	}
	return strconv.Quote(value.String())
}

func (c textCodec) cell(value protoreflect.Value) Value {
	if c.pattern == hashPattern {
		return TextValue(shortHash(value.String()))
	}
	return TextValue(value.String())
}

// shownHashDigits is the number of digits of a hash that tables show.
const shownHashDigits = 12

func shortHash(hash string) string { return hash[:min(len(hash), shownHashDigits)] }

// source returns the scalar as it was written.
func (s *scalarSyntax) source() string {
	switch {
	case s.Text != nil:
		return *s.Text
	case s.Quantity != "":
		return s.Quantity
	}
	return s.Word
}
