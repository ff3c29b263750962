package routing

const (
	// popularityGrowth is the factor by which each request weighs more than the one before. Old requests decay:
	// after about 4,000 requests their share has halved.
	popularityGrowth = 1.00017
	// maxRequestWeight prevents overflow of the counts.
	maxRequestWeight = 1e200
	// popularFraction defines a popular block: one that occurs in more than the fraction 1/popularFraction of the
	// requests that each back end gets on average. It is too popular for a single home.
	popularFraction = 4
	// popularityPrior is the number of requests per back end that are needed before popularity is significant.
	popularityPrior = 2
)

// risingWeight is the weight of the newest request. With rising weights, counts compare as if older requests had
// decayed, without updating each count.
type risingWeight float64

// advance raises the weight for the next request and reports whether the counts must be rescaled.
func (w *risingWeight) advance() bool {
	*w *= popularityGrowth
	return *w > maxRequestWeight
}
