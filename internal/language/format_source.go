package language

import (
	"sort"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

const indentation = "  "

// FormatSource lays out one declaration file: fields indented by two spaces, equals signs aligned, one
// blank line between objects. Order, comments and the spelling of values are preserved. For a file that
// does not parse it returns the error of ParseDeclarations.
func FormatSource(file *v1.SourceFile) (string, error) {
	if _, err := ParseDeclarations([]*v1.SourceFile{file}); err != nil {
		return "", trace.Wrap(err)
	}
	syntax, err := fileParser.ParseString(file.GetName(), file.GetText())
	if err != nil {
		return "", trace.Wrap(err)
	}
	segments, err := parseComments(file)
	if err != nil {
		return "", trace.Wrap(err)
	}
	for _, block := range syntax.Blocks {
		segments = append(segments, block.layout()...)
	}
	sort.SliceStable(segments, func(i, j int) bool { return segments[i].offset < segments[j].offset })
	return joinSegments(segments), nil
}

// segment is one piece of a formatted file: a line, or a trailing comment.
type segment struct {
	offset int
	// line and endLine are the segment's first and last line in the source.
	line, endLine int
	text          string
	// trailing segments are appended to the line before them.
	trailing bool
	// opens is true if the segment increases the indentation, closes if it decreases it.
	opens, closes bool
}

// layout splits a block into segments: its head, its fields and its closing brace.
func (b *blockSyntax) layout() []segment {
	head := b.Type + " " + b.Name.canonicalText() + " {"
	segments := []segment{{offset: b.Pos.Offset, line: b.Pos.Line, endLine: b.Name.Pos.Line, text: head, opens: true}}
	width := 0
	for _, setting := range b.Settings {
		width = max(width, len(setting.Field))
	}
	for _, setting := range b.Settings {
		text := setting.Field + strings.Repeat(" ", width-len(setting.Field)) + " = " + setting.Value.layout()
		segments = append(segments, segment{offset: setting.Pos.Offset, line: setting.Pos.Line, endLine: setting.EndPos.Line, text: text})
	}
	// The closing brace is the last character of the block.
	return append(segments, segment{offset: b.EndPos.Offset - 1, line: b.EndPos.Line, endLine: b.EndPos.Line, text: "}", closes: true})
}

// canonicalText writes a name without quotes where it needs none.
func (n *nameSyntax) canonicalText() string {
	name, mistake := n.unquoted()
	if mistake != nil {
		return n.Text
	}
	return quoteName(name)
}

func (v *valueSyntax) layout() string {
	if !v.IsList {
		return v.Scalar.layout()
	}
	items := make([]string, len(v.List))
	for i, scalar := range v.List {
		items[i] = scalar.layout()
	}
	return "[" + strings.Join(items, ", ") + "]"
}

// layout writes a quantity with its unit's usual spacing, and other scalars as they are.
func (s *scalarSyntax) layout() string {
	if s.Quantity == "" {
		return s.source()
	}
	number, word := splitQuantity(s.Quantity)
	for _, units := range [][]unit{durationUnits, sizeUnits} {
		if _, gapless := findUnit(units, word); gapless {
			return number + word
		}
	}
	return strings.TrimSpace(number + " " + word)
}

// parseComments returns the comments of a file.
func parseComments(file *v1.SourceFile) ([]segment, error) {
	lexed, err := lexerDefinition.LexString(file.GetName(), file.GetText())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	all, err := lexer.ConsumeAll(lexed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	symbols := lexerDefinition.Symbols()
	var segments []segment
	lastLine := 0 // line of the last token that is neither comment nor white space
	for _, token := range all {
		switch token.Type {
		case symbols["Comment"]:
			text := strings.TrimRight(token.Value, " \t\r")
			segments = append(segments, segment{offset: token.Pos.Offset, line: token.Pos.Line, endLine: token.Pos.Line, text: text, trailing: token.Pos.Line == lastLine})
		case symbols["Whitespace"]:
		default:
			lastLine = token.Pos.Line
		}
	}
	return segments, nil
}

// joinSegments writes the segments as lines.
func joinSegments(segments []segment) string {
	var text strings.Builder
	depth := 0
	for i, current := range segments {
		if current.closes {
			depth--
		}
		if current.trailing && i > 0 {
			text.WriteString(" " + current.text)
			continue
		}
		if i > 0 {
			text.WriteString("\n" + separatorBetween(segments[i-1], current, depth))
		}
		text.WriteString(strings.Repeat(indentation, depth) + current.text)
		if current.opens {
			depth++
		}
	}
	if len(segments) > 0 {
		text.WriteString("\n")
	}
	return text.String()
}

// separatorBetween returns a blank line between objects and where the source has one.
func separatorBetween(before, after segment, depth int) string {
	if after.closes || before.opens {
		return ""
	}
	if after.line-before.endLine > 1 || before.closes && depth == 0 {
		return "\n"
	}
	return ""
}
