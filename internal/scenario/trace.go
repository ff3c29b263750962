package scenario

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/yamlfile"
)

// Columns of a trace file.
const (
	columnAt      = "at_seconds"
	columnKind    = "kind"
	columnPrompt  = "prompt_tokens"
	columnOutput  = "output_tokens"
	columnTenant  = "tenant"
	columnZone    = "zone"
	columnSubject = "subject"
	columnShared  = "shared_tokens"
)

var (
	requiredColumns = []string{columnAt, columnKind, columnPrompt, columnOutput}
	optionalColumns = []string{columnTenant, columnZone, columnSubject, columnShared}
)

// traceReader reads the rows of one trace file.
type traceReader struct {
	path     string
	scenario Scenario
	rows     *csv.Reader
	columns  map[string]int
	row      []string
	problems yamlfile.Problems
}

// readTrace reads the arrivals of a CSV file for a scenario.
func readTrace(path string, declared Scenario) ([]Arrival, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, trace.BadParameter("cannot read the trace: %v; give trace.file relative to the scenario's directory", err)
	}
	defer func() { _ = file.Close() }() // an error on close of a file that was only read is harmless
	reader := &traceReader{path: path, scenario: declared, rows: csv.NewReader(file)}
	arrivals, err := reader.read()
	if err != nil {
		return nil, trace.BadParameter("%s: not valid CSV: %v", path, err)
	}
	if len(reader.problems) > 0 {
		return nil, trace.Wrap(reader.problems)
	}
	return arrivals, nil
}

func (r *traceReader) read() ([]Arrival, error) {
	header, err := r.rows.Read()
	if err != nil {
		return nil, err
	}
	r.readHeader(header)
	if len(r.problems) > 0 {
		return nil, nil
	}
	var arrivals []Arrival
	for {
		r.row, err = r.rows.Read()
		if errors.Is(err, io.EOF) {
			return arrivals, nil
		}
		if err != nil {
			return nil, err
		}
		arrivals = append(arrivals, r.arrival())
	}
}

func (r *traceReader) readHeader(header []string) {
	r.columns = make(map[string]int, len(header))
	all := append(slices.Clone(requiredColumns), optionalColumns...)
	for index, name := range header {
		name = strings.TrimSpace(name)
		if !slices.Contains(all, name) {
			r.report(name, "unknown column", nameRemedy(name, all))
		}
		r.columns[name] = index
	}
	for _, name := range requiredColumns {
		if _, found := r.columns[name]; !found {
			r.report(name, "is missing", "add the column")
		}
	}
}

func (r *traceReader) arrival() Arrival {
	arrival := Arrival{
		At:           r.time(),
		Kind:         r.name(columnKind, r.scenario.kindNames()),
		Zone:         r.name(columnZone, r.scenario.zoneNames()),
		PromptTokens: r.number(columnPrompt, 1, math.MaxInt32),
		OutputTokens: r.number(columnOutput, 1, math.MaxInt32),
		Tenant:       r.number(columnTenant, 1, r.scenario.Tenants.Count) - 1,
		Subject:      r.number(columnSubject, 0, math.MaxInt32),
		SharedTokens: r.number(columnShared, 0, math.MaxInt32),
	}
	if arrival.SharedTokens > arrival.PromptTokens {
		r.report(columnShared, fmt.Sprintf("%d is more than the prompt's %d", arrival.SharedTokens, arrival.PromptTokens), "write at most prompt_tokens")
	}
	return arrival
}

// cell returns the text of a column and whether the trace has the column.
func (r *traceReader) cell(column string) (string, bool) {
	index, found := r.columns[column]
	if !found {
		return "", false
	}
	return strings.TrimSpace(r.row[index]), true
}

func (r *traceReader) time() time.Duration {
	text, _ := r.cell(columnAt)
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds < 0 || seconds >= r.scenario.Duration.Seconds() {
		r.report(columnAt, fmt.Sprintf("%q is not a time of the run", text), fmt.Sprintf("write seconds from 0 to below %g", r.scenario.Duration.Seconds()))
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// name returns the index in known of the name in a column. It returns 0 without the column, or after it has reported
// an unknown name.
func (r *traceReader) name(column string, known []string) int {
	text, found := r.cell(column)
	if !found {
		return 0
	}
	index := slices.Index(known, text)
	if index < 0 {
		r.report(column, fmt.Sprintf("%q is not one of the scenario's", text), nameRemedy(text, known))
		return 0
	}
	return index
}

// number returns the integer in a column, which must be from least to most. It returns least without the column, or
// after it has reported another value.
func (r *traceReader) number(column string, least, most int) int {
	text, found := r.cell(column)
	if !found {
		return least
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < least || number > most {
		r.report(column, fmt.Sprintf("%q is not a whole number from %d to %d", text, least, most), "write such a number")
		return least
	}
	return number
}

func (r *traceReader) report(column, fault, remedy string) {
	line, _ := r.rows.FieldPos(0)
	r.problems = append(r.problems, yamlfile.Problem{
		Position: fmt.Sprintf("%s:%d", r.path, line), Key: column, Fault: fault, Fix: remedy,
	})
}
