package formats

import v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"

// Range is the formats that a process knows. Its zero value is that of a process that tells none.
type Range struct{ Lowest, Highest Number }

// Supported is the range of this build.
func Supported() Range { return Range{Lowest: First, Highest: Newest} }

// Supports reports whether a format is in the range.
func (r Range) Supports(number Number) bool { return r.Lowest <= number && number <= r.Highest }

// ToWire writes a range; nil for that of a process that tells none.
func (r Range) ToWire() *v1.FormatRange {
	if r == (Range{}) {
		return nil
	}
	return &v1.FormatRange{Lowest: uint32(r.Lowest), Highest: uint32(r.Highest)}
}

// FromWire reads what a process has told; nil is nothing.
func FromWire(told *v1.FormatRange) Range {
	return Range{Lowest: Number(told.GetLowest()), Highest: Number(told.GetHighest())}
}
