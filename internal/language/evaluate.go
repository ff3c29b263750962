package language

import (
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Evaluate runs a query against a view. It returns a trace.BadParameter error for a Command, which the
// control core executes instead, and a trace.NotFound error with the closest known name for an unknown
// name.
func Evaluate(statement Statement, view View) (*v1.ExecuteResponse, error) {
	var result *result
	var err error
	switch query := statement.(type) {
	case Show:
		result, err = query.evaluate(view)
	case Explain:
		result, err = query.evaluate(view)
	case History:
		result, err = query.evaluate(view)
	default:
		return nil, trace.BadParameter("%T is a command, not a query", statement)
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return result.response(currentRevision(view).Revision), nil
}

// currentRevision returns the last accepted revision; the zero value before the first declaration.
func currentRevision(view View) RevisionView {
	revisions := view.Revisions()
	if len(revisions) == 0 {
		return RevisionView{}
	}
	return revisions[len(revisions)-1]
}

// result is a table before its conversion to an ExecuteResponse.
type result struct {
	columns []string
	rows    [][]Value
}

func (r *result) response(revision uint64) *v1.ExecuteResponse {
	response := &v1.ExecuteResponse{Revision: revision, Columns: r.columns}
	for _, row := range r.rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = cell.Text
		}
		response.Rows = append(response.Rows, &v1.Row{Cells: cells})
	}
	if len(response.Rows) == 0 {
		response.Message = "no rows"
	}
	return response
}

// notFoundError reports an unknown name and suggests the closest known one.
func notFoundError(what, name string, known []string) error {
	if suggestion := suggestWord(name, known); suggestion != "" {
		return trace.NotFound("%s %s is not known; did you mean %q?", what, quoteName(name), suggestion)
	}
	return trace.NotFound("%s %s is not known", what, quoteName(name))
}
