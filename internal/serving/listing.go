package serving

// Listing is one reading of the outside list of back ends.
type Listing struct {
	BackEnds []BackEnd
	// SkippedEntries tells, for each entry that names no back end, why.
	SkippedEntries []string
	// Calls is how many calls the reading took: the list takes a fixed rate of them from all who read it.
	Calls int
	// Complete tells that it was read to its end.
	Complete bool
}
