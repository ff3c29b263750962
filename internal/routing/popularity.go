package routing

const (
	// popularityGrowth is the factor by which each request weighs more than the one
	// before, so that old ones fade: about 4,000 requests halve their part.
	popularityGrowth = 1.00017
	// highestWeight keeps the counts far from overflow.
	highestWeight = 1e200
	// homeFraction: a block is too popular for one home when it is in more than one
	// in homeFraction requests for each back end.
	homeFraction = 4
	// popularityPrior is the number of requests for each back end that must have
	// been seen before popularity means much.
	popularityPrior = 2
)

// risingWeight is the weight of the newest request. Counts of such weights compare
// as if older requests had faded, without work for each count.
type risingWeight float64

// rise moves on to the next request, and reports whether counts must be scaled down.
func (w *risingWeight) rise() bool {
	*w *= popularityGrowth
	return *w > highestWeight
}
