package language

import (
	"strconv"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// fileSyntax is one declaration file.
type fileSyntax struct {
	Blocks []*blockSyntax `parser:"@@*"`
}

// blockSyntax is one declared object.
type blockSyntax struct {
	Pos      lexer.Position
	EndPos   lexer.Position
	Type     string           `parser:"@Word"`
	Name     *nameSyntax      `parser:"@@"`
	Settings []*settingSyntax `parser:"'{' (@@ ';'?)* '}'"`
}

// settingSyntax is one field of a declared object.
type settingSyntax struct {
	Pos    lexer.Position
	EndPos lexer.Position
	Field  string       `parser:"@Word '='"`
	Value  *valueSyntax `parser:"@@"`
}

// valueSyntax is one scalar or a list of scalars.
type valueSyntax struct {
	Pos    lexer.Position
	IsList bool            `parser:"@'['"`
	List   []*scalarSyntax `parser:"(@@ ','?)* ']'"`
	Scalar *scalarSyntax   `parser:"| @@"`
}

// scalarSyntax is one number, text or word.
type scalarSyntax struct {
	Pos      lexer.Position
	Quantity string  `parser:"@Quantity"`
	Text     *string `parser:"| @String"`
	Word     string  `parser:"| @(Word | Address)"`
}

// nameSyntax is a name, as a bare word or in quotes.
type nameSyntax struct {
	Pos  lexer.Position
	Text string `parser:"@(Word | String)"`
}

var fileParser = participle.MustBuild[fileSyntax](participle.Lexer(lexerDefinition), participle.Elide("Comment", "Whitespace"), participle.UseLookahead(0))

// unquote returns the text of a String token. Texts must be valid UTF-8, like all stored records.
func unquote(position lexer.Position, token string) (string, *Error) {
	text, err := strconv.Unquote(token)
	if err != nil || !utf8.ValidString(text) {
		return "", errorAt(position, "%s is not a valid text: expected UTF-8 with the escapes of Go strings", token)
	}
	return text, nil
}

// unquoted returns the name without quotes, whether it was written as a bare word or in quotes.
func (n *nameSyntax) unquoted() (string, *Error) {
	if len(n.Text) > 0 && n.Text[0] == '"' {
		return unquote(n.Pos, n.Text)
	}
	return n.Text, nil
}

// validated returns the name, or an error if it is not a valid one.
func (n *nameSyntax) validated() (string, *Error) {
	name, mistake := n.unquoted()
	if mistake == nil && !namePattern.MatchString(name) {
		mistake = errorAt(n.Pos, "%q is not a name: expected %s", name, nameRule)
	}
	return name, mistake
}

// quoteName writes a name in its canonical spelling.
func quoteName(name string) string {
	if bareWordPattern.MatchString(name) {
		return name
	}
	return strconv.Quote(name)
}
