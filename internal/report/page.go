package report

import (
	_ "embed"
	"html/template"
	"io"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/experiment"
)

//go:embed page.html.tmpl
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// pageData is the input of the page's template.
type pageData struct {
	Overview overview
	Header   []string
	Sections []section
}

// section is the part of the page about one scenario.
type section struct {
	Title    string
	Rows     [][]string
	Charts   []chart
	Refusals []refusalTable
	Changes  []eventList
}

// eventList lists the role changes and faults of one run.
type eventList struct {
	Policy string
	Events []experiment.Event
}

// WriteHTML writes the page. The page is self-contained: it needs neither scripts nor the network.
func (s Summary) WriteHTML(out io.Writer) error {
	data := pageData{Overview: s.overview(), Header: tableHeader}
	for index := range s.Groups {
		created, err := s.Groups[index].section()
		if err != nil {
			return trace.Wrap(err)
		}
		data.Sections = append(data.Sections, created)
	}
	return trace.Wrap(pageTemplate.Execute(out, data))
}

func (g *Group) section() (section, error) {
	charts, err := g.charts()
	if err != nil {
		return section{}, trace.Wrap(err)
	}
	created := section{Title: g.title(), Charts: charts}
	for _, policy := range g.Policies {
		created.Rows = append(created.Rows, policy.tableCells())
	}
	for _, run := range g.firstRuns() {
		if len(run.Refusals) > 0 {
			created.Refusals = append(created.Refusals, newRefusalTable(run))
		}
		if len(run.Events) > 0 {
			created.Changes = append(created.Changes, eventList{Policy: runLabel(run), Events: run.Events})
		}
	}
	return created, nil
}
