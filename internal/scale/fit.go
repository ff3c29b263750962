package scale

import (
	"cmp"
	"fmt"
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	// linearShare is the least R² that counts as linear.
	linearShare = 0.98
	// bendLimit is how much steeper the last part may be than the whole line.
	bendLimit = 1.5
	// negligible is the least change, as a share of the value, that is a slope at all.
	negligible = 0.05
)

// Fit is a quantity against one dimension of size.
type Fit struct {
	Role     Role   `json:"role"`
	Quantity string `json:"quantity"`
	Unit     string `json:"unit"`
	// Values are the measured ones, at the sizes of the sweep.
	Values []float64 `json:"values"`
	// At a size x the line gives Base + Slope*x.
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	// R2 is the share of the variance that the line explains.
	R2 float64 `json:"r2"`
	// Form is flat, linear, steeper than linear, or scattered.
	Form string `json:"form"`
}

// Forms of a fit.
const (
	FormFlat      = "flat"
	FormLinear    = "linear"
	FormSteeper   = "steeper than linear"
	FormScattered = "scattered"
)

// NewFit fits a line to at least two sizes.
func NewFit(sizes, values []float64) Fit {
	fit := Fit{Values: values}
	fit.Base, fit.Slope = stat.LinearRegression(sizes, values, nil, false)
	fit.R2 = stat.RSquared(sizes, values, nil, fit.Base, fit.Slope)
	fit.Form = form(sizes, fit)
	return fit
}

// At is the line's value at a size.
func (f Fit) At(size float64) float64 { return f.Base + f.Slope*size }

func form(sizes []float64, fit Fit) string {
	last := len(sizes) - 1
	low, high := slices.Min(fit.Values), slices.Max(fit.Values)
	if high-low <= negligible*max(high, -low) {
		return FormFlat
	}
	lastSlope := (fit.Values[last] - fit.Values[last-1]) / (sizes[last] - sizes[last-1])
	firstSlope := (fit.Values[last-1] - fit.Values[0]) / (sizes[last-1] - sizes[0])
	switch {
	case last > 1 && firstSlope > 0 && lastSlope > bendLimit*firstSlope:
		return FormSteeper
	case fit.R2 >= linearShare:
		return FormLinear
	default:
		return FormScattered
	}
}

// quantity is one number of a measurement that is fitted.
type quantity struct {
	name, unit string
	of         func(RoleUsage) float64
}

var quantities = []quantity{
	{"processor", "% of a core", func(u RoleUsage) float64 { return 100 * u.Processor }},
	{"memory", "MB", func(u RoleUsage) float64 { return float64(u.Resident) / 1e6 }},
	{"disk", "MB", func(u RoleUsage) float64 { return float64(u.Disk) / 1e6 }},
	{"received", "KB/s", func(u RoleUsage) float64 { return u.Received / 1000 }},
	{"sent", "KB/s", func(u RoleUsage) float64 { return u.Sent / 1000 }},
}

// Fits fits every role's quantities and every duty's messages and core time against the
// sizes of the measurements.
func Fits(sizes []float64, measurements []*Measurement) []Fit {
	var fits []Fit
	add := func(role Role, name, unit string, value func(*Measurement) float64) {
		values := make([]float64, len(measurements))
		for position, measured := range measurements {
			values[position] = value(measured)
		}
		if slices.Max(values) == 0 {
			return
		}
		fit := NewFit(sizes, values)
		fit.Role, fit.Quantity, fit.Unit = role, name, unit
		fits = append(fits, fit)
	}
	last := measurements[len(measurements)-1]
	for _, usage := range last.Roles {
		for _, each := range quantities {
			add(usage.Role, each.name, each.unit, func(m *Measurement) float64 {
				if found := m.Role(usage.Role); found != nil {
					return each.of(*found)
				}
				return 0
			})
		}
	}
	for _, usage := range last.Duties {
		duty := func(m *Measurement) DutyUsage {
			if found := m.Duty(usage.Role, usage.Duty); found != nil {
				return *found
			}
			return DutyUsage{}
		}
		add(usage.Role, usage.Duty, "messages/s", func(m *Measurement) float64 { return duty(m).Messages })
		add(usage.Role, usage.Duty, "KB/s", func(m *Measurement) float64 { return (duty(m).Received + duty(m).Sent) / 1000 })
		add(usage.Role, usage.Duty, "core %", func(m *Measurement) float64 { return 100 * duty(m).Core })
	}
	slices.SortStableFunc(fits, func(a, b Fit) int { return cmp.Compare(a.Role, b.Role) })
	return fits
}

// Line tells the fit as a formula in the dimension's name.
func (f Fit) Line(dimension string) string {
	return fmt.Sprintf("%.3g + %.3g × %s", f.Base, f.Slope, dimension)
}
