package scale

import (
	"context"
	"fmt"
	"io"

	"github.com/gravitational/trace"
	"github.com/jedib0t/go-pretty/v6/table"
)

// Dimension is what a sweep varies.
type Dimension string

// Dimensions.
const (
	DimensionNodes    Dimension = "nodes"
	DimensionReplicas Dimension = "replicas"
	DimensionTenants  Dimension = "tenants"
)

// sweepSizes are the sizes of each dimension, up to the target.
var sweepSizes = map[Dimension][]int{
	DimensionNodes:    {10, 30, 100, 390},
	DimensionReplicas: {30, 100, 300, 930},
	DimensionTenants:  {100, 1000, 10000, 33000},
}

// Sizes of what a sweep does not vary.
const (
	sweepNodes    = 10
	sweepReplicas = 30
	sweepTenants  = 100
)

// Sweep is the measurements of one dimension with the lines through them.
type Sweep struct {
	Dimension    Dimension      `json:"dimension"`
	Sizes        []float64      `json:"sizes"`
	Measurements []*Measurement `json:"measurements"`
	Fits         []Fit          `json:"fits"`
}

// RunSweep measures the sizes of a dimension, smallest first, the rest held small. Each
// node decides on as many requests as one does at the target. prepare gives each run its
// own directory.
func RunSweep(ctx context.Context, dimension Dimension, options RunOptions, targetNodes int, prepare func() (string, func(), error)) (*Sweep, error) {
	sizes, known := sweepSizes[dimension]
	if !known {
		return nil, trace.BadParameter("no dimension %q; nodes, replicas or tenants", dimension)
	}
	perNode := options.Traffic.RequestsPerSecond / float64(targetNodes)
	sweep := &Sweep{Dimension: dimension}
	for _, size := range sizes {
		each := options
		each.Plan.Nodes, each.Plan.Replicas, each.Plan.Tenants = sweepNodes, sweepReplicas, sweepTenants
		switch dimension {
		case DimensionNodes:
			each.Plan.Nodes = size
		case DimensionReplicas:
			each.Plan.Replicas = size
		case DimensionTenants:
			each.Plan.Tenants = size
		}
		each.Traffic.RequestsPerSecond = perNode * float64(each.Plan.Nodes)
		measured, err := runIn(ctx, each, prepare)
		if err != nil {
			return nil, trace.Wrap(err, "%s = %d", dimension, size)
		}
		sweep.Sizes = append(sweep.Sizes, float64(size))
		sweep.Measurements = append(sweep.Measurements, measured)
	}
	sweep.Fits = Fits(sweep.Sizes, sweep.Measurements)
	return sweep, nil
}

func runIn(ctx context.Context, options RunOptions, prepare func() (string, func(), error)) (*Measurement, error) {
	directory, remove, err := prepare()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer remove()
	options.Directory = directory
	return Run(ctx, options)
}

// Write prints the lines as a table.
func (s *Sweep) Write(out io.Writer) {
	fits := table.NewWriter()
	header := table.Row{"role", "quantity", "unit"}
	for _, size := range s.Sizes {
		header = append(header, fmt.Sprintf("%s %.0f", s.Dimension, size))
	}
	fits.AppendHeader(append(header, "line", "R²", "form"))
	for _, fit := range s.Fits {
		row := table.Row{fit.Role, fit.Quantity, fit.Unit}
		for _, value := range fit.Values {
			row = append(row, fmt.Sprintf("%.3f", value))
		}
		fits.AppendRow(append(row, fit.Line(string(s.Dimension)), fmt.Sprintf("%.3f", fit.R2), fit.Form))
	}
	fmt.Fprintln(out, fits.Render())
}
