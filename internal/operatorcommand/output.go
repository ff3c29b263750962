package operatorcommand

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/gravitational/trace"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/language"
)

// userMessage returns an error's text for people, without the stack trace.
func userMessage(err error) string { return trace.UserMessage(err) }

// writeMessage prints a protocol message as JSON.
func writeMessage(out io.Writer, message proto.Message) error {
	body, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return trace.Wrap(err)
	}
	// protojson varies its white space deliberately, so the output is indented again.
	var compact json.RawMessage = body
	return writeJSON(out, compact)
}

// writeJSON prints a value as indented JSON.
func writeJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(value))
}

// writeTable prints the answer to a query.
func writeTable(out io.Writer, response *v1.ExecuteResponse) {
	if len(response.GetRows()) > 0 {
		fmt.Fprintln(out, renderTable(response.GetColumns(), response.GetRows()))
	}
	if response.GetMessage() != "" {
		fmt.Fprintln(out, response.GetMessage())
	}
}

func renderTable(columns []string, rows []*v1.Row) string {
	writer := table.NewWriter()
	writer.SetStyle(plainStyle())
	writer.SuppressTrailingSpaces()
	writer.AppendHeader(tableRow(columns))
	for _, row := range rows {
		writer.AppendRow(tableRow(row.GetCells()))
	}
	return writer.Render()
}

// plainStyle returns a table style without lines, so that other tools can split the columns.
func plainStyle() table.Style {
	style := table.StyleDefault
	style.Box.PaddingLeft = ""
	style.Box.PaddingRight = "  "
	style.Options = table.OptionsNoBordersAndSeparators
	style.Format.Header = text.FormatDefault
	return style
}

func tableRow(texts []string) table.Row {
	row := make(table.Row, len(texts))
	for i, cell := range texts {
		row[i] = cell
	}
	return row
}

// writeDifferences prints what a declaration would change.
func writeDifferences(out io.Writer, differences []*v1.Difference) {
	for _, difference := range differences {
		fmt.Fprintln(out, differenceSymbol(difference.GetType())+" "+language.FormatKey(difference.GetKey()))
		for _, field := range difference.GetFields() {
			fmt.Fprintln(out, "    "+language.FormatFieldDifference(field))
		}
	}
}

func differenceSymbol(differenceType v1.DifferenceType) string {
	switch differenceType {
	case v1.DifferenceType_DIFFERENCE_TYPE_ADD:
		return "+"
	case v1.DifferenceType_DIFFERENCE_TYPE_DELETE:
		return "-"
	}
	return "~"
}

// formatCount writes a count with its noun.
func formatCount(count int, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", count, noun)
}
