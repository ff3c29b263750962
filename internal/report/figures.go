package report

import (
	"fmt"
	"image/color"
	"slices"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/experiment"
)

// charts returns the plots of a group. All except the first use the first run of each policy.
func (g *Group) charts() ([]chart, error) {
	runs := g.firstRuns()
	drawers := []func([]experiment.Run) ([]chart, error){
		g.shareChart, goodputChart, mixChart, roleCharts, latencyCharts, refusalCharts,
	}
	var charts []chart
	for _, drawer := range drawers {
		drawn, err := drawer(runs)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		charts = append(charts, drawn...)
	}
	return charts, nil
}

// shareChart compares the policies' median goodput in percent of the clairvoyant bound, or of the offered worth if a
// policy has no bound.
func (g *Group) shareChart([]experiment.Run) ([]chart, error) {
	var names []string
	values, caption := []float64{}, "Goodput as a share of the clairvoyant bound, median of the seeds"
	bounded := !slices.ContainsFunc(g.Policies, func(policy PolicySummary) bool { return policy.ShareOfBound == nil })
	if !bounded {
		caption = "Goodput as a share of what was offered, median of the seeds (no bound was computed)"
	}
	for _, policy := range g.Policies {
		names = append(names, policy.Policy)
		value := policy.ShareOfOffered
		if bounded {
			value = *policy.ShareOfBound
		}
		values = append(values, 100*value.Median)
	}
	drawn, err := barChart(caption, "%", names, []barGroup{{name: "goodput", values: values, color: paletteColor(0)}}, layoutReference)
	return []chart{drawn}, err
}

// goodputChart plots goodput and offered worth over time.
func goodputChart(runs []experiment.Run) ([]chart, error) {
	offered := averagedPoints(runs[0].Series, func(sample experiment.Sample) float64 { return sample.OfferedWorth })
	lines := []chartLine{{name: "offered", points: offered, color: colorReference, dashed: true}}
	for index, run := range runs {
		lines = append(lines, chartLine{
			name: runLabel(run), color: paletteColor(index),
			points: averagedPoints(run.Series, func(sample experiment.Sample) float64 { return sample.Goodput }),
		})
	}
	drawn, err := lineChart(fmt.Sprintf("Goodput over time, seed %d", runs[0].Seed), "worth/s", lines)
	return []chart{drawn}, err
}

// mixChart plots the tokens of the requests that arrived over time.
func mixChart(runs []experiment.Run) ([]chart, error) {
	series := runs[0].Series
	drawn, err := lineChart("Mix: tokens of the requests that arrived", "tokens/s", []chartLine{
		{name: "prompt tokens", color: colorPrefill, points: averagedPoints(series, func(sample experiment.Sample) float64 { return float64(sample.PromptTokens) })},
		{name: "output tokens", color: colorDecode, points: averagedPoints(series, func(sample experiment.Sample) float64 { return float64(sample.OutputTokens) })},
	})
	return []chart{drawn}, err
}

// roleCharts plots the engines' roles over time, for each run and service.
func roleCharts(runs []experiment.Run) ([]chart, error) {
	var charts []chart
	for _, run := range runs {
		for _, service := range serviceNames(run) {
			drawn, err := roleChart(run, service)
			if err != nil {
				return nil, trace.Wrap(err)
			}
			charts = append(charts, drawn)
		}
	}
	return charts, nil
}

func roleChart(run experiment.Run, service string) (chart, error) {
	layer := func(name string, color color.Color, count func(experiment.RoleCount) int) chartLine {
		return chartLine{name: name, color: color, points: averagedPoints(run.Series, roleSum(service, count))}
	}
	layers := []chartLine{
		layer("prefill", colorPrefill, func(row experiment.RoleCount) int { return row.Prefill }),
		layer("decode", colorDecode, func(row experiment.RoleCount) int { return row.Decode }),
		layer("mixed", colorMixed, func(row experiment.RoleCount) int { return row.Mixed }),
		layer("out", colorOut, func(row experiment.RoleCount) int { return row.Out }),
	}
	changes, marks := 0, []verticalMark(nil)
	for _, event := range run.Events {
		switch {
		case event.Type == experiment.EventChangeFinished && event.Service == service:
			changes++
			marks = append(marks, verticalMark{at: event.AtSeconds, color: colorChange})
		case event.Type == experiment.EventFault:
			marks = append(marks, verticalMark{at: event.AtSeconds, color: colorFault})
		}
	}
	caption := fmt.Sprintf("Roles of %s under %s, role changes: %d (black lines), faults (red lines)", service, runLabel(run), changes)
	return stackChart(caption, "engines", layers, marks)
}

// latencyCharts compares percentiles of the token latencies.
func latencyCharts(runs []experiment.Run) ([]chart, error) {
	var charts []chart
	for _, part := range []struct {
		name string
		of   func(experiment.Latencies) experiment.Percentiles
	}{
		{"Time to the first token", func(latencies experiment.Latencies) experiment.Percentiles { return latencies.FirstToken }},
		{"Time between tokens", func(latencies experiment.Latencies) experiment.Percentiles { return latencies.BetweenTokens }},
		{"Time to the last token", func(latencies experiment.Latencies) experiment.Percentiles { return latencies.Whole }},
	} {
		groups := []barGroup{{name: "p50", color: paletteColor(0)}, {name: "p90", color: paletteColor(1)}, {name: "p99", color: paletteColor(2)}}
		var names []string
		for _, run := range runs {
			names = append(names, runLabel(run))
			percentiles := part.of(run.Latencies)
			for index, value := range []float64{percentiles.P50, percentiles.P90, percentiles.P99} {
				groups[index].values = append(groups[index].values, value)
			}
		}
		drawn, err := barChart(part.name+" of completed requests", "ms", names, groups, layoutSideBySide)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		charts = append(charts, drawn)
	}
	return charts, nil
}

// refusalCharts plots each run's refusals by tenant and verdict, except for runs without
// refusals.
func refusalCharts(runs []experiment.Run) ([]chart, error) {
	var charts []chart
	for _, run := range runs {
		if len(run.Refusals) == 0 {
			continue
		}
		table := newRefusalTable(run)
		groups := make([]barGroup, len(table.Reasons))
		for index, reason := range table.Reasons {
			groups[index] = barGroup{name: reason, color: paletteColor(index)}
		}
		var names []string
		for _, row := range table.Rows {
			names = append(names, row.Tenant)
			for index, count := range row.Counts {
				groups[index].values = append(groups[index].values, float64(count))
			}
		}
		drawn, err := barChart("Refusals by tenant and verdict under "+runLabel(run), "requests", names, groups, layoutStacked)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		charts = append(charts, drawn)
	}
	return charts, nil
}
