package language

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/nearest"
)

// Error is one mistake in a text, with its position and, if there is one, the known word that is closest to
// the mistaken word.
type Error struct {
	File   string
	Line   int
	Column int
	// Message says what is wrong and what was expected instead.
	Message string
	// Suggestion is the closest known word, or empty.
	Suggestion string
}

// Error returns "file:line:column: message", followed by the suggestion.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
	if e.Suggestion != "" {
		text += fmt.Sprintf("; did you mean %q?", e.Suggestion)
	}
	return text
}

// Errors lists every mistake found in a set of files, sorted by file, line and column.
type Errors []*Error

// Error returns one line for each mistake.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, mistake := range e {
		lines[i] = mistake.Error()
	}
	return strings.Join(lines, "\n")
}

// As lets trace.IsBadParameter recognize the mistakes.
func (e Errors) As(target any) bool { return asBadParameter(e, target) }

func asBadParameter(err error, target any) bool {
	badParameter, wanted := target.(**trace.BadParameterError)
	if wanted {
		*badParameter = &trace.BadParameterError{Message: err.Error()}
	}
	return wanted
}

// sorted sorts the mistakes by position, in place, and returns them as an error; nil when there are none.
func (e Errors) sorted() error {
	if len(e) == 0 {
		return nil
	}
	sort.SliceStable(e, func(i, j int) bool {
		if e[i].File != e[j].File {
			return e[i].File < e[j].File
		}
		if e[i].Line != e[j].Line {
			return e[i].Line < e[j].Line
		}
		return e[i].Column < e[j].Column
	})
	return e
}

func errorAt(position lexer.Position, format string, arguments ...any) *Error {
	return &Error{
		File:    position.Filename,
		Line:    position.Line,
		Column:  position.Column,
		Message: fmt.Sprintf(format, arguments...),
	}
}

// unknownWordError reports a word that is not one of the known ones.
func unknownWordError(position lexer.Position, what, word string, known []string) *Error {
	mistake := errorAt(position, "unknown %s %q: expected %s", what, word, joinAlternatives(known))
	mistake.Suggestion = suggestWord(word, known)
	return mistake
}

// convertSyntaxError converts an error of the parser library into an Error. For an unexpected word it
// suggests the closest of the known words; leadingKeywords are the words that a text may begin with.
func convertSyntaxError(err error, known, leadingKeywords []string) *Error {
	var syntaxError participle.Error
	if !errors.As(err, &syntaxError) {
		return &Error{Message: err.Error()}
	}
	var unexpected *participle.UnexpectedTokenError
	if !errors.As(err, &unexpected) {
		return errorAt(syntaxError.Position(), "%s", strings.TrimPrefix(syntaxError.Message(), "lexer: "))
	}
	mistake := errorAt(syntaxError.Position(), "unexpected %s: expected %s", describeUnexpected(unexpected), describeExpected(unexpected, leadingKeywords))
	mistake.Suggestion = suggestWord(unexpected.Unexpected.Value, known)
	return mistake
}

func describeUnexpected(unexpected *participle.UnexpectedTokenError) string {
	if unexpected.Unexpected.EOF() {
		return "end of text"
	}
	return strconv.Quote(unexpected.Unexpected.Value)
}

var (
	// expectedTokensPattern matches the end of the parser library's message.
	expectedTokensPattern = regexp.MustCompile(`\(expected (.*)\)$`)

	// grammarNames replaces names of the grammar with the terms that operators use.
	grammarNames = strings.NewReplacer(
		" ValueSyntax", " and a value",
		"ScalarSyntax", "a value",
		"NameSyntax", "a name",
		"ShowSyntax", "a table",
		"SubjectSyntax", "a type and a name",
		"ConditionSyntax", "a column and what to compare it with",
		"OrderSyntax", "a column",
		"RoleSyntax", "a name, \"to\" and a role",
		"MemberSyntax", "a name, \"at\" and IP:port",
		"ReplaceSyntax", "a name, \"with\", a name, \"at\" and IP:port",
		"<word>", "a word",
	)
)

// describeExpected lists the tokens that the grammar accepts at the position of an unexpected token.
func describeExpected(unexpected *participle.UnexpectedTokenError, leadingKeywords []string) string {
	if parts := expectedTokensPattern.FindStringSubmatch(unexpected.Message()); parts != nil {
		return grammarNames.Replace(parts[1])
	}
	if unexpected.Unexpected.Pos.Offset == 0 {
		return joinAlternatives(leadingKeywords)
	}
	return "end of text"
}

// joinAlternatives joins words as "a, b or c".
func joinAlternatives(words []string) string {
	if len(words) < 2 {
		return strings.Join(words, "")
	}
	last := len(words) - 1
	return strings.Join(words[:last], ", ") + " or " + words[last]
}

// suggestWord returns the known word that is closest to word, or "" when there is none or when word
// itself is known.
func suggestWord(word string, known []string) string {
	if slices.Contains(known, word) {
		return ""
	}
	suggestion, _ := nearest.Word(strings.ToLower(word), known)
	return suggestion
}
