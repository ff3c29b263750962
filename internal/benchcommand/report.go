package benchcommand

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/report"
)

// reportFlags are the flags of `hazelbench report`.
type reportFlags struct {
	Out  string `long:"out" value-name:"FILE" description:"write the HTML page there"`
	CSV  string `long:"csv" value-name:"FILE" description:"write one row for each run there"`
	JSON bool   `long:"json" description:"print the summary as JSON"`
}

func reportCommand() command {
	return command{
		name:  "report",
		short: "compare results of experiments",
		long: "Reads result files that `hazelbench experiment --json` wrote, prints a summary, and writes one " +
			"self-contained HTML page with plots and tables, and a CSV file. docs/REPORT.md explains how to read them.",
		runner: new(reportFlags),
	}
}

func (r *reportFlags) run(_ context.Context, environment Environment, rest []string) error {
	runs, err := report.Read(rest)
	if err != nil {
		return &usageError{cause: err}
	}
	summary := report.Summarize(runs)
	if r.Out != "" {
		if err := writeFile(r.Out, environment.Stderr, summary.WriteHTML); err != nil {
			return trace.Wrap(err)
		}
	}
	if r.CSV != "" {
		write := func(out io.Writer) error { return report.WriteCSV(out, runs) }
		if err := writeFile(r.CSV, environment.Stderr, write); err != nil {
			return trace.Wrap(err)
		}
	}
	if r.JSON {
		return printJSON(environment.Stdout, summary)
	}
	summary.WriteText(environment.Stdout)
	return nil
}

// writeFile writes a file and prints its path to progress.
func writeFile(path string, progress io.Writer, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := write(file); err != nil {
		_ = file.Close() // the write error is the one to report
		return trace.Wrap(err, "writing %s", path)
	}
	if err := file.Close(); err != nil {
		return trace.ConvertSystemError(err)
	}
	fmt.Fprintf(progress, "wrote %s\n", path)
	return nil
}
