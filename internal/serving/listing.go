package serving

// Listing is the result of one read of the external list of back ends.
type Listing struct {
	BackEnds []BackEnd
	// SkippedEntries holds, for each entry that describes no back end, the reason.
	SkippedEntries []string
	// Calls is the number of calls that the read took. The list limits the rate of calls of all its readers together.
	Calls int
	// Complete is true if the list was read to its end.
	Complete bool
}
