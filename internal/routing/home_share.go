package routing

const (
	firstHomeShare = 0.5
	// homeShareWeight is the weight of the newest answer in the learned share.
	homeShareWeight = 0.02
)

// homeShare is the part of a prompt that is found in the cache of its home when this
// gateway has not sent it there itself: other gateways of the zone may have. It is
// learned, and near 0 where prompts share nothing.
type homeShare float64

func (h *homeShare) learn(promptTokens, cachedTokens int) {
	found := min(float64(cachedTokens)/float64(promptTokens), 1)
	*h += homeShareWeight * (homeShare(found) - *h)
}
