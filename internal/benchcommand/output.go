package benchcommand

import (
	"encoding/json"
	"io"

	"github.com/gravitational/trace"
)

// table is a report that can print itself as tables.
type table interface{ Write(out io.Writer) }

// printReport prints a report as indented JSON or as tables.
func printReport(out io.Writer, asJSON bool, report table) error {
	if !asJSON {
		report.Write(out)
		return nil
	}
	return printJSON(out, report)
}

// printJSON prints a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(value))
}
