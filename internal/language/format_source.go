package language

import (
	"sort"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

const indentation = "  "

// FormatSource lays out one declaration file: two blanks before fields, equals signs
// in line, one blank line between objects. Order, comments and spelling of values
// stay as they are. A file that does not parse is an error as ParseDeclarations
// gives it.
func FormatSource(file *v1.SourceFile) (string, error) {
	if _, err := ParseDeclarations([]*v1.SourceFile{file}); err != nil {
		return "", trace.Wrap(err)
	}
	syntax, err := fileParser.ParseString(file.GetName(), file.GetText())
	if err != nil {
		return "", trace.Wrap(err)
	}
	parts, err := comments(file)
	if err != nil {
		return "", trace.Wrap(err)
	}
	for _, block := range syntax.Blocks {
		parts = append(parts, block.layout()...)
	}
	sort.SliceStable(parts, func(i, j int) bool { return parts[i].offset < parts[j].offset })
	return joinParts(parts), nil
}

// part is one piece of a laid out file: a line, or a comment that ends one.
type part struct {
	offset int
	// line and endLine are where the piece stood in the source.
	line, endLine int
	text          string
	// trailing pieces go to the end of the line before.
	trailing bool
	// opens and closes tell how the piece changes the indentation.
	opens, closes bool
}

// layout writes a block as pieces: its head, its fields and its end.
func (b *blockSyntax) layout() []part {
	head := b.Type + " " + b.Name.canonical() + " {"
	parts := []part{{offset: b.Pos.Offset, line: b.Pos.Line, endLine: b.Name.Pos.Line, text: head, opens: true}}
	width := 0
	for _, setting := range b.Settings {
		width = max(width, len(setting.Field))
	}
	for _, setting := range b.Settings {
		text := setting.Field + strings.Repeat(" ", width-len(setting.Field)) + " = " + setting.Value.layout()
		parts = append(parts, part{offset: setting.Pos.Offset, line: setting.Pos.Line, endLine: setting.EndPos.Line, text: text})
	}
	// The closing brace is the last character of the block.
	return append(parts, part{offset: b.EndPos.Offset - 1, line: b.EndPos.Line, endLine: b.EndPos.Line, text: "}", closes: true})
}

// canonical writes a name without quotes where it needs none.
func (n *nameSyntax) canonical() string {
	name, mistake := n.text()
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

// layout writes a quantity with the gap that its unit has, and others as they are.
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

// comments finds the comments of a file.
func comments(file *v1.SourceFile) ([]part, error) {
	lexed, err := tokens.LexString(file.GetName(), file.GetText())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	all, err := lexer.ConsumeAll(lexed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	symbols := tokens.Symbols()
	var parts []part
	lastLine := 0 // line of the last token that is neither comment nor white space
	for _, token := range all {
		switch token.Type {
		case symbols["Comment"]:
			text := strings.TrimRight(token.Value, " \t\r")
			parts = append(parts, part{offset: token.Pos.Offset, line: token.Pos.Line, endLine: token.Pos.Line, text: text, trailing: token.Pos.Line == lastLine})
		case symbols["Whitespace"]:
		default:
			lastLine = token.Pos.Line
		}
	}
	return parts, nil
}

// joinParts writes the pieces as lines.
func joinParts(parts []part) string {
	var text strings.Builder
	depth := 0
	for i, piece := range parts {
		if piece.closes {
			depth--
		}
		if piece.trailing && i > 0 {
			text.WriteString(" " + piece.text)
			continue
		}
		if i > 0 {
			text.WriteString("\n" + gapBetween(parts[i-1], piece, depth))
		}
		text.WriteString(strings.Repeat(indentation, depth) + piece.text)
		if piece.opens {
			depth++
		}
	}
	if len(parts) > 0 {
		text.WriteString("\n")
	}
	return text.String()
}

// gapBetween is a blank line where the source has one, and between objects.
func gapBetween(before, after part, depth int) string {
	if after.closes || before.opens {
		return ""
	}
	if after.line-before.endLine > 1 || before.closes && depth == 0 {
		return "\n"
	}
	return ""
}
