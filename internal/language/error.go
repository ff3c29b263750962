package language

import (
	"errors"
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/gravitational/trace"
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
	mistake.Suggestion = nearest(word, known)
	return mistake
}

// fromSyntaxError turns an error of the parser library into an Error. It suggests
// the nearest of the known words for an unexpected one.
func fromSyntaxError(err error, known []string) *Error {
	var syntaxError participle.Error
	if !errors.As(err, &syntaxError) {
		return &Error{Message: err.Error()}
	}
	mistake := errorAt(syntaxError.Position(), "%s", syntaxMessage(syntaxError.Message()))
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		mistake.Suggestion = nearest(unexpected.Unexpected.Value, known)
	}
	return mistake
}

// unexpectedToken matches the parser library's message for a token out of place.
var unexpectedToken = regexp.MustCompile(`^unexpected token "(.*)" \(expected (.*)\)$`)

// grammarNames replaces names of the grammar by what an operator calls them.
var grammarNames = strings.NewReplacer(
	" ValueSyntax", " and a value",
	"NameSyntax", "a name",
	"<word>", "a word",
)

// syntaxMessage words a message of the parser library for operators.
func syntaxMessage(message string) string {
	parts := unexpectedToken.FindStringSubmatch(message)
	if parts == nil {
		return strings.TrimPrefix(message, "lexer: ")
	}
	found := strconv.Quote(parts[1])
	if parts[1] == "<EOF>" {
		found = "end of text"
	}
	return "unexpected " + found + ": expected " + grammarNames.Replace(parts[2])
}

// alternatives lists words as "a, b or c".
func alternatives(words []string) string {
	if len(words) < 2 {
		return strings.Join(words, "")
	}
	last := len(words) - 1
	return strings.Join(words[:last], ", ") + " or " + words[last]
}

// nearest returns the known word that is closest to word, or "" when none is
// close enough to be a slip of the pen.
func nearest(word string, known []string) string {
	best, bestDistance := "", 1+len(word)/3
	for _, candidate := range known {
		distance := levenshtein.ComputeDistance(strings.ToLower(word), candidate)
		if distance > 0 && distance <= bestDistance && (best == "" || distance < bestDistance) {
			best, bestDistance = candidate, distance
		}
	}
	return best
}
