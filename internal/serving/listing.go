package serving

// Listing is one reading of the outside list of back ends.
type Listing struct {
	BackEnds []BackEnd
	// PassedOver tells, for each entry that names no back end, why.
	PassedOver []string
	// Calls is how many calls the reading took: the list takes a fixed rate of them from all who read it.
	Calls int
	// Whole tells that it was read to its end.
	Whole bool
}
