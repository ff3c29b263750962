package report_test

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/html"
	"golang.org/x/net/html/atom"

	"github.com/hazelpitch/hazelpitch/internal/experiment"
	"github.com/hazelpitch/hazelpitch/internal/report"
)

// hostileTenant breaks a page that does not escape its text.
const hostileTenant = `<script>"tenant"</script>`

// newRun returns a run of ten seconds with one role change and refusals.
func newRun(policy string, seed uint64, goodput float64) experiment.Run {
	bound := 1000.0
	run := experiment.Run{
		Scenario: "step", Deployment: "rawabi", Policy: policy, Seed: seed, LengthSeconds: 10,
		OfferedWorth: 1250, Goodput: goodput, BoundGoodput: &bound, RoleChanges: 1, RoleChangesOrdered: 1,
		Requests: 300, Completed: 250, DeadlineMisses: 7, Refused: 43,
		Refusals: []experiment.Refusal{
			{Tenant: hostileTenant, Verdict: "not-run", Reason: "queue-full", Count: 40},
			{Tenant: "tenant-2", Verdict: "not-run", Reason: "deadline", Count: 3},
		},
		Latencies: experiment.Latencies{
			FirstToken: experiment.Percentiles{Count: 250, P50: 120, P90: 300, P99: 913},
			Whole:      experiment.Percentiles{Count: 250, P50: 2000, P90: 4000, P99: 5678},
		},
		Events: []experiment.Event{
			{AtSeconds: 4, Type: experiment.EventChangeStarted, Service: "assessor", Engine: "assessor-a-1", From: "prefill", To: "decode", Detail: "more output"},
			{AtSeconds: 8, Type: experiment.EventChangeFinished, Service: "assessor", Engine: "assessor-a-1", From: "prefill", To: "decode"},
		},
	}
	for second := 1; second <= 10; second++ {
		run.Series = append(run.Series, experiment.Sample{
			AtSeconds: float64(second), Goodput: goodput / 10, OfferedWorth: 125, PromptTokens: 5000, OutputTokens: 400,
			Roles: []experiment.RoleCount{{Service: "assessor", Zone: "hall-a", Prefill: 2, Decode: 1, Out: 1}},
		})
	}
	return run
}

func runs() []experiment.Run {
	return []experiment.Run{
		newRun("planner", 1, 960), newRun("planner", 2, 940), newRun("planner", 3, 970),
		newRun("static-mean", 1, 600),
	}
}

// elements returns the descendants of a kind, in document order.
func elements(root *html.Node, kind string) []*html.Node {
	var found []*html.Node
	for node := range root.Descendants() {
		if node.Type == html.ElementNode && node.Data == kind {
			found = append(found, node)
		}
	}
	return found
}

func text(node *html.Node) string {
	var built strings.Builder
	for inner := range node.Descendants() {
		if inner.Type == html.TextNode {
			built.WriteString(inner.Data)
		}
	}
	return built.String()
}

func page(t *testing.T, shown []experiment.Run) *html.Node {
	t.Helper()
	var out bytes.Buffer
	require.NoError(t, report.Summarize(shown).WriteHTML(&out))
	root, err := html.Parse(&out)
	require.NoError(t, err)
	return root
}

// tableRows returns the cells of the body rows of all tables of a class.
func tableRows(root *html.Node, class string) [][]string {
	var rows [][]string
	for _, table := range elements(root, "table") {
		if len(table.Attr) == 0 || table.Attr[0].Val != class {
			continue
		}
		for _, row := range elements(table, "tr") {
			var cells []string
			for _, cell := range elements(row, "td") {
				cells = append(cells, text(cell))
			}
			if cells != nil {
				rows = append(rows, cells)
			}
		}
	}
	return rows
}

func TestPageComparesPolicies(t *testing.T) {
	rows := tableRows(page(t, runs()), "comparison")
	require.Equal(t, []string{"planner", "3", "960 (940–970)", "96.0% (94.0%–97.0%)", "76.8% (75.2%–77.6%)", "1", "7", "43", "0", "120", "913", "0", "5678"}, rows[0])
	require.Equal(t, []string{"static-mean", "1", "600", "60.0%", "48.0%"}, rows[1][:5])
}

func TestPageShowsEveryPlot(t *testing.T) {
	root := page(t, runs())
	var captions []string
	for _, caption := range elements(root, "figcaption") {
		captions = append(captions, text(caption))
	}
	require.Equal(t, []string{
		"Goodput as a share of the clairvoyant bound, median of the seeds",
		"Goodput over time, seed 1",
		"Mix: tokens of the requests that arrived",
		"Roles of assessor under planner, role changes: 1 (black lines), faults (red lines)",
		"Roles of assessor under static-mean, role changes: 1 (black lines), faults (red lines)",
		"Time to the first token of completed requests",
		"Time between tokens of completed requests",
		"Time to the last token of completed requests",
		"Refusals by tenant and verdict under planner",
		"Refusals by tenant and verdict under static-mean",
	}, captions)
	plots := elements(root, "svg")
	require.Len(t, plots, len(captions))
	for index, drawn := range plots {
		require.NotEmpty(t, elements(drawn, "path"), captions[index])
	}
	require.Contains(t, text(plots[1]), "offered")
	require.Contains(t, text(plots[1]), "static-mean")
	require.Contains(t, text(plots[3]), "prefill")
	require.Contains(t, text(plots[8]), "not-run queue-full")
}

func TestPageIsSelfContainedAndEscapes(t *testing.T) {
	root := page(t, runs())
	require.Empty(t, elements(root, "script"))
	for node := range root.Descendants() {
		for _, attribute := range node.Attr {
			require.NotEqual(t, "src", attribute.Key)
			if attribute.Key == "href" {
				require.True(t, strings.HasPrefix(attribute.Val, "#"), attribute.Val)
			}
		}
		require.NotEqual(t, atom.Link, node.DataAtom)
	}
	require.Contains(t, text(root), hostileTenant)
}

func TestPageShowsChangesWithReasons(t *testing.T) {
	shown := text(page(t, runs()))
	for _, want := range []string{"change-started", "change-finished", "assessor-a-1", "more output"} {
		require.Contains(t, shown, want)
	}
}

func TestDeploymentsAreSummarizedSeparately(t *testing.T) {
	other := newRun("planner", 1, 500)
	other.Deployment = "empleandes"
	summary := report.Summarize(append(runs(), other))
	require.Len(t, summary.Groups, 2)
	require.Equal(t, 500.0, summary.Groups[1].Policies[0].Goodput.Median)
}

func TestOverviewComparesPoliciesOverScenarios(t *testing.T) {
	other := newRun("clairvoyant", 1, 1000)
	other.Scenario = "calm"
	rows := tableRows(page(t, append(runs(), other)), "overview")
	require.Equal(t, [][]string{
		{"rawabi / step", "96.0% of bound, changes: 1", "60.0% of bound, changes: 1", ""},
		{"rawabi / calm", "", "", "100.0% of bound, changes: 1"},
	}, rows)
}

func TestNoBound(t *testing.T) {
	run := newRun("planner", 1, 900)
	run.BoundGoodput = nil
	var out bytes.Buffer
	report.Summarize([]experiment.Run{run}).WriteText(&out)
	require.Contains(t, out.String(), "–")
	require.Contains(t, out.String(), "72.0%")
	require.Contains(t, text(page(t, []experiment.Run{run})), "no bound was computed")
}

func TestEmptyRunHasAPage(t *testing.T) {
	root := page(t, []experiment.Run{{Scenario: "empty", Deployment: "rawabi", Policy: "planner"}})
	require.Contains(t, text(root), "rawabi / empty")
}

func TestCSVListsEveryRun(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, report.WriteCSV(&out, runs()))
	rows, err := csv.NewReader(&out).ReadAll()
	require.NoError(t, err)
	require.Len(t, rows, 5)
	require.Equal(t, []string{"rawabi", "step", "planner", "2", "10", "1250", "940", "1000", "1", "1", "300", "250", "7", "43", "0", "120", "300", "913"}, rows[2][:18])
}

func TestTenantsBeyondTheMaximumAreSummed(t *testing.T) {
	run := newRun("planner", 1, 900)
	run.Refusals = nil
	for tenant := range 13 {
		run.Refusals = append(run.Refusals, experiment.Refusal{Tenant: fmt.Sprintf("tenant-%02d", tenant), Verdict: "not-run", Reason: "full", Count: 100 - tenant})
	}
	shown := text(page(t, []experiment.Run{run}))
	require.Contains(t, shown, "tenant-09")
	require.NotContains(t, shown, "tenant-10")
	require.Contains(t, shown, "others")
	require.Contains(t, shown, "267") // 90 + 89 + 88
}

func TestRead(t *testing.T) {
	directory := t.TempDir()
	write := func(name string, content any) string {
		path := filepath.Join(directory, name)
		encoded, err := json.Marshal(content)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(path, encoded, 0o600))
		return path
	}
	read, err := report.Read([]string{write("list.json", runs()), write("one.json", newRun("reactive", 1, 700))})
	require.NoError(t, err)
	require.Equal(t, append(runs(), newRun("reactive", 1, 700)), read)

	for name, row := range map[string]struct {
		paths []string
		want  string
	}{
		"none":         {nil, "name a result file"},
		"absent":       {[]string{filepath.Join(directory, "absent.json")}, "absent.json"},
		"not a result": {[]string{write("text.json", "text")}, "text.json: not a result"},
		"other object": {[]string{write("other.json", map[string]int{"sent": 3})}, "other.json: run 1 names no scenario"},
		"in a list":    {[]string{write("half.json", append(runs(), experiment.Run{Scenario: "x"}))}, "half.json: run 5 names no scenario or no policy"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := report.Read(row.paths)
			require.ErrorContains(t, err, row.want)
		})
	}
}
