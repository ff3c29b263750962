package formats

import v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"

// Range is the range of formats that a process supports. Its zero value is that of a process that advertises none.
type Range struct{ Lowest, Highest Number }

// Supported returns the range of formats that this build supports.
func Supported() Range { return Range{Lowest: First, Highest: Newest} }

// SupportedStored returns the range of formats that this build supports in the replicated log.
func SupportedStored() Range { return Range{Lowest: First, Highest: NewestStored} }

// Supports reports whether a format is in the range.
func (r Range) Supports(number Number) bool { return r.Lowest <= number && number <= r.Highest }

// ToWire encodes a range; the zero range is encoded as nil.
func (r Range) ToWire() *v1.FormatRange {
	if r == (Range{}) {
		return nil
	}
	return &v1.FormatRange{Lowest: uint32(r.Lowest), Highest: uint32(r.Highest)}
}

// FromWire decodes the range that a process has advertised; nil is decoded as the zero range.
func FromWire(reported *v1.FormatRange) Range {
	return Range{Lowest: Number(reported.GetLowest()), Highest: Number(reported.GetHighest())}
}
