package report

import (
	"gonum.org/v1/plot/plotter"

	"github.com/hazelpitch/hazelpitch/internal/experiment"
)

// maxPoints limits the points of one line; longer series are averaged.
const maxPoints = 240

// averagedPoints averages one figure of a series into at most maxPoints points.
func averagedPoints(series []experiment.Sample, figure func(experiment.Sample) float64) plotter.XYs {
	bin := (len(series) + maxPoints - 1) / maxPoints
	var points plotter.XYs
	for start := 0; start < len(series); start += bin {
		samples := series[start:min(start+bin, len(series))]
		sum := 0.0
		for _, sample := range samples {
			sum += figure(sample)
		}
		points = append(points, plotter.XY{X: samples[len(samples)-1].AtSeconds, Y: sum / float64(len(samples))})
	}
	return points
}

// roleSum returns a function that sums one count of a service over the zones of a sample.
func roleSum(service string, count func(experiment.RoleCount) int) func(experiment.Sample) float64 {
	return func(sample experiment.Sample) float64 {
		sum := 0
		for _, row := range sample.Roles {
			if row.Service == service {
				sum += count(row)
			}
		}
		return float64(sum)
	}
}

// serviceNames returns the services of a run, in the order of its samples.
func serviceNames(run experiment.Run) []string {
	var names []string
	if len(run.Series) == 0 {
		return nil
	}
	for _, row := range run.Series[0].Roles {
		if len(names) == 0 || names[len(names)-1] != row.Service {
			names = append(names, row.Service)
		}
	}
	return names
}
