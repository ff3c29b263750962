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

// pageData is what the template shows.
type pageData struct {
	Overview overview
	Header   []string
	Sections []section
}

// section is one scenario of the page.
type section struct {
	Title    string
	Rows     [][]string
	Charts   []chart
	Refusals []refusals
	Changes  []changeList
}

// changeList is one run's role changes and faults.
type changeList struct {
	Policy string
	Events []experiment.Event
}

// WriteHTML writes the page. It needs nothing beside itself: no script, no network.
func (s Summary) WriteHTML(out io.Writer) error {
	data := pageData{Overview: s.overview(), Header: tableHeader}
	for index := range s.Groups {
		made, err := s.Groups[index].section()
		if err != nil {
			return trace.Wrap(err)
		}
		data.Sections = append(data.Sections, made)
	}
	return trace.Wrap(pageTemplate.Execute(out, data))
}

func (g *Group) section() (section, error) {
	charts, err := g.charts()
	if err != nil {
		return section{}, trace.Wrap(err)
	}
	made := section{Title: g.title(), Charts: charts}
	for _, policy := range g.Policies {
		made.Rows = append(made.Rows, policy.cells())
	}
	for _, run := range g.first() {
		if len(run.Refusals) > 0 {
			made.Refusals = append(made.Refusals, refusalTable(run))
		}
		if len(run.Events) > 0 {
			made.Changes = append(made.Changes, changeList{Policy: label(run), Events: run.Events})
		}
	}
	return made, nil
}
