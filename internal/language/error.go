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

// Error is one mistake in a text, with its place and, where there is one, the
// known word nearest to what was written.
type Error struct {
	File   string
	Line   int
	Column int
	// Message says what is wrong and what was expected.
	Message string
	// Suggestion is a known word, or empty.
	Suggestion string
}

// Error gives "file:line:column: message".
func (e *Error) Error() string {
	text := fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
	if e.Suggestion != "" {
		text += fmt.Sprintf("; did you mean %q?", e.Suggestion)
	}
	return text
}

// Errors is every mistake found in a set of files, by file, line and column.
type Errors []*Error

// Error gives one line for each mistake.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, mistake := range e {
		lines[i] = mistake.Error()
	}
	return strings.Join(lines, "\n")
}

// As makes trace.IsBadParameter true for the mistakes.
func (e Errors) As(target any) bool { return asBadParameter(e, target) }

func asBadParameter(err error, target any) bool {
	badParameter, wanted := target.(**trace.BadParameterError)
	if wanted {
		*badParameter = &trace.BadParameterError{Message: err.Error()}
	}
	return wanted
}

// sorted returns the mistakes in order of place, or nil when there are none.
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

// unknownWord reports a word that is not among the known ones.
func unknownWord(position lexer.Position, what, word string, known []string) *Error {
	mistake := errorAt(position, "unknown %s %q: expected %s", what, word, alternatives(known))
	mistake.Suggestion = suggest(word, known)
	return mistake
}

// fromSyntaxError turns an error of the parser library into an Error. It suggests
// the nearest of the known words for an unexpected one; beginnings are the words a
// text may begin with.
func fromSyntaxError(err error, known, beginnings []string) *Error {
	var syntaxError participle.Error
	if !errors.As(err, &syntaxError) {
		return &Error{Message: err.Error()}
	}
	var unexpected *participle.UnexpectedTokenError
	if !errors.As(err, &unexpected) {
		return errorAt(syntaxError.Position(), "%s", strings.TrimPrefix(syntaxError.Message(), "lexer: "))
	}
	mistake := errorAt(syntaxError.Position(), "unexpected %s: expected %s", foundText(unexpected), expectedText(unexpected, beginnings))
	mistake.Suggestion = suggest(unexpected.Unexpected.Value, known)
	return mistake
}

func foundText(unexpected *participle.UnexpectedTokenError) string {
	if unexpected.Unexpected.EOF() {
		return "end of text"
	}
	return strconv.Quote(unexpected.Unexpected.Value)
}

var (
	// expectedPart is the end of the parser library's message.
	expectedPart = regexp.MustCompile(`\(expected (.*)\)$`)

	// grammarNames replaces names of the grammar by what an operator calls them.
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

// expectedText says what the grammar takes at the place of an unexpected token.
func expectedText(unexpected *participle.UnexpectedTokenError, beginnings []string) string {
	if parts := expectedPart.FindStringSubmatch(unexpected.Message()); parts != nil {
		return grammarNames.Replace(parts[1])
	}
	if unexpected.Unexpected.Pos.Offset == 0 {
		return alternatives(beginnings)
	}
	return "end of text"
}

// alternatives lists words as "a, b or c".
func alternatives(words []string) string {
	if len(words) < 2 {
		return strings.Join(words, "")
	}
	last := len(words) - 1
	return strings.Join(words[:last], ", ") + " or " + words[last]
}

// suggest returns the known word that is closest to word, or "" when there is none
// or the word itself is known.
func suggest(word string, known []string) string {
	if slices.Contains(known, word) {
		return ""
	}
	suggestion, _ := nearest.Word(strings.ToLower(word), known)
	return suggestion
}
