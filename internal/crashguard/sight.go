package crashguard

// Sight is what a look at a back end showed.
type Sight int

// Sights.
const (
	// Unclear: nothing answered in time; the way there may be cut.
	Unclear Sight = iota
	// Serves: the back end takes connections.
	Serves
	// Gone: its machine answers, and nothing serves at the address.
	Gone
)
