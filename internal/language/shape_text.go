package language

import (
	"regexp"
	"strconv"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// textShape is a text that must match a pattern as a whole.
type textShape struct {
	what    string
	pattern *regexp.Regexp
	// bare tells that the canonical spelling needs no quotes where a word does.
	bare bool
}

// nameRule says what namePattern matches.
const nameRule = "letters, digits, '.', '_' and '-', 128 at most"

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9_.-]{0,127}$`)

	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

	nameShape    = textShape{what: "a name", pattern: namePattern, bare: true}
	versionShape = textShape{what: "a version in quotes", pattern: regexp.MustCompile(`^[^\x00-\x1f]{1,128}$`)}
	pathShape    = textShape{what: `a path prefix such as "/avisos"`, pattern: regexp.MustCompile(`^/[\x21-\x7e]{0,255}$`)}
	hashShape    = textShape{what: "a SHA-256 hash as 64 hexadecimal digits in quotes", pattern: hashPattern}
)

func (s textShape) describe() string { return s.what }

func (s textShape) parse(scalar *scalarSyntax, _ protoreflect.FieldDescriptor) (protoreflect.Value, *Error) {
	text := scalar.Word
	if scalar.Text != nil {
		var mistake *Error
		if text, mistake = unquote(scalar.Pos, *scalar.Text); mistake != nil {
			return protoreflect.Value{}, mistake
		}
	}
	if !s.pattern.MatchString(text) {
		return protoreflect.Value{}, errorAt(scalar.Pos, "%s is not valid here: expected %s", scalar.source(), s.what)
	}
	return protoreflect.ValueOfString(text), nil
}

func (s textShape) format(value protoreflect.Value) string {
	if s.bare {
		return quoteName(value.String())
	}
	return strconv.Quote(value.String())
}

func (s textShape) cell(value protoreflect.Value) Value {
	if s.pattern == hashPattern {
		return TextValue(shortHash(value.String()))
	}
	return TextValue(value.String())
}

// shownHashDigits is how much of a hash tables show.
const shownHashDigits = 12

func shortHash(hash string) string { return hash[:min(len(hash), shownHashDigits)] }

// source is the scalar as it was written.
func (s *scalarSyntax) source() string {
	switch {
	case s.Text != nil:
		return *s.Text
	case s.Quantity != "":
		return s.Quantity
	}
	return s.Word
}
