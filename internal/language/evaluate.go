package language

import (
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Evaluate answers a query from a view. A Command is a trace.BadParameter error:
// it is carried out by the control core. An unknown name is a trace.NotFound error
// with the nearest known name.
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
	return result.response(inForce(view).Revision), nil
}

// inForce is the revision in force; zero before the first declaration.
func inForce(view View) RevisionView {
	revisions := view.Revisions()
	if len(revisions) == 0 {
		return RevisionView{}
	}
	return revisions[len(revisions)-1]
}

// result is a table on its way to an ExecuteResponse.
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

// notFound names what is unknown and the nearest known name.
func notFound(what, name string, known []string) error {
	if suggestion := suggest(name, known); suggestion != "" {
		return trace.NotFound("%s %s is not known; did you mean %q?", what, quoteName(name), suggestion)
	}
	return trace.NotFound("%s %s is not known", what, quoteName(name))
}
