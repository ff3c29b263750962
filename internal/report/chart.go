package report

import (
	"bytes"
	"html/template"
	"image/color"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	chartWidth  = 22 * vg.Centimeter
	chartHeight = 7 * vg.Centimeter
	lineWidth   = 1.2 * vg.Millimeter / 3
	// headroomPerEntry is the extension of the vertical axis beyond the highest value, as a
	// share of that value, for each entry of the legend.
	headroomPerEntry = 0.11
	// nominalMargin is the space beside the first and the last bar, in bars.
	nominalMargin = 0.6
)

// chart is one plot with its caption.
type chart struct {
	Caption string
	SVG     template.HTML
}

// chartLine is one line of a chart.
type chartLine struct {
	name   string
	points plotter.XYs
	color  color.Color
	dashed bool
}

// verticalMark is a vertical line at a time.
type verticalMark struct {
	at    float64
	color color.Color
}

// newPlot returns an empty plot with axis labels.
func newPlot(x, y string) *plot.Plot {
	created := plot.New()
	created.X.Label.Text, created.Y.Label.Text = x, y
	created.Legend.Top, created.Legend.Left = true, true
	created.Legend.XOffs = vg.Millimeter
	return created
}

// lineChart draws lines over time in seconds.
func lineChart(caption, unit string, lines []chartLine) (chart, error) {
	created := newPlot("seconds", unit)
	for _, drawn := range lines {
		if err := addLine(created, drawn); err != nil {
			return chart{}, trace.Wrap(err)
		}
	}
	setVerticalAxis(created, len(lines))
	return render(caption, created, chartHeight)
}

// setVerticalAxis starts the vertical axis at zero and extends it beyond the highest value,
// so that the legend covers no line.
func setVerticalAxis(in *plot.Plot, legendEntries int) {
	in.Y.Min = 0
	in.Y.Max *= 1 + headroomPerEntry*float64(legendEntries)
}

func addLine(to *plot.Plot, drawn chartLine) error {
	if len(drawn.points) == 0 {
		return nil
	}
	created, err := plotter.NewLine(drawn.points)
	if err != nil {
		return trace.Wrap(err)
	}
	created.Color, created.Width = drawn.color, lineWidth
	if drawn.dashed {
		created.Dashes = []vg.Length{2 * vg.Millimeter, vg.Millimeter}
	}
	to.Add(created)
	to.Legend.Add(drawn.name, created)
	return nil
}

// stackChart draws layers on top of each other, with vertical marks across them.
func stackChart(caption, unit string, layers []chartLine, marks []verticalMark) (chart, error) {
	created := newPlot("seconds", unit)
	var below plotter.XYs
	for _, layer := range layers {
		top := stackedOn(layer.points, below)
		area, err := plotter.NewPolygon(outline(top, below))
		if err != nil {
			return chart{}, trace.Wrap(err)
		}
		area.Color, area.LineStyle.Width = layer.color, 0
		created.Add(area)
		created.Legend.Add(layer.name, area)
		below = top
	}
	height := created.Y.Max
	for _, mark := range marks {
		drawn, err := plotter.NewLine(plotter.XYs{{X: mark.at, Y: 0}, {X: mark.at, Y: height}})
		if err != nil {
			return chart{}, trace.Wrap(err)
		}
		drawn.Color, drawn.Width = mark.color, lineWidth
		drawn.Dashes = []vg.Length{vg.Millimeter, vg.Millimeter}
		created.Add(drawn)
	}
	setVerticalAxis(created, len(layers))
	return render(caption, created, chartHeight)
}

// stackedOn adds a layer to the one below it; below is nil for the lowest layer.
func stackedOn(layer, below plotter.XYs) plotter.XYs {
	top := make(plotter.XYs, len(layer))
	for index, point := range layer {
		top[index] = point
		if below != nil {
			top[index].Y += below[index].Y
		}
	}
	return top
}

// outline returns the polygon between the lines top and below; below is nil for the horizontal axis.
func outline(top, below plotter.XYs) plotter.XYs {
	around := append(plotter.XYs(nil), top...)
	for index := len(top) - 1; index >= 0; index-- {
		back := plotter.XY{X: top[index].X}
		if below != nil {
			back.Y = below[index].Y
		}
		around = append(around, back)
	}
	return around
}

// barGroup is one colour of a bar chart, with a value for each name.
type barGroup struct {
	name   string
	values []float64
	color  color.Color
}

// barLayout is the arrangement of the groups of a bar chart.
type barLayout int

// Layouts of bar charts.
const (
	layoutSideBySide barLayout = iota
	layoutStacked
	// layoutReference is side by side, with a line at 100 (referenceValue) for comparison.
	layoutReference
)

// referenceValue is the value of the line in layoutReference.
const referenceValue = 100

// barChart draws groups of bars.
func barChart(caption, unit string, names []string, groups []barGroup, layout barLayout) (chart, error) {
	created := newPlot("", unit)
	width := barWidth(len(names), len(groups), layout)
	var below *plotter.BarChart
	for index, group := range groups {
		drawn, err := plotter.NewBarChart(plotter.Values(group.values), width)
		if err != nil {
			return chart{}, trace.Wrap(err)
		}
		drawn.Color, drawn.LineStyle.Width = group.color, 0
		if layout == layoutStacked && below != nil {
			drawn.StackOn(below)
		}
		if layout != layoutStacked {
			drawn.Offset = width * (vg.Length(index) - vg.Length(len(groups)-1)/2)
		}
		below = drawn
		created.Add(drawn)
		created.Legend.Add(group.name, drawn)
	}
	created.NominalX(names...)
	created.X.Min, created.X.Max = -nominalMargin, float64(len(names))-1+nominalMargin
	if layout == layoutReference {
		ends := plotter.XYs{{X: created.X.Min, Y: referenceValue}, {X: created.X.Max, Y: referenceValue}}
		if err := addLine(created, chartLine{name: "100%", points: ends, color: colorReference, dashed: true}); err != nil {
			return chart{}, trace.Wrap(err)
		}
	}
	setVerticalAxis(created, len(groups)+1)
	return render(caption, created, chartHeight)
}

// barWidth divides three quarters of the chart's width among all bars, up to maxWidth for each.
func barWidth(names, groups int, layout barLayout) vg.Length {
	sideBySide := groups
	if layout == layoutStacked {
		sideBySide = 1
	}
	const used, maxWidth = 0.75, 1.5 * vg.Centimeter
	return min(used*chartWidth/vg.Length(max(names*sideBySide, 1)), maxWidth)
}

// render draws a plot as SVG for inclusion in an HTML page.
func render(caption string, drawn *plot.Plot, height vg.Length) (chart, error) {
	canvas := vgsvg.New(chartWidth, height)
	drawn.Draw(draw.New(canvas))
	var text bytes.Buffer
	if _, err := canvas.WriteTo(&text); err != nil {
		return chart{}, trace.Wrap(err)
	}
	// Omits the XML header, which is not valid within HTML.
	start := max(bytes.Index(text.Bytes(), []byte("<svg")), 0)
	return chart{Caption: caption, SVG: template.HTML(text.Bytes()[start:])}, nil // safe: drawn here, with escaped text
}
