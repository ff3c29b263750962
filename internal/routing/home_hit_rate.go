package routing

const (
	initialHomeHitRate = 0.5
	// homeHitRateWeight is the weight of the newest answer in the estimate.
	homeHitRateWeight = 0.02
)

// homeHitRate estimates the share of a prompt that is cached at the home of its prefix if this gateway has not
// sent it there itself: other gateways of the zone may have. It is near 0 if prompts share no prefixes.
type homeHitRate float64

func (h *homeHitRate) observe(promptTokens, cachedTokens int) {
	hit := min(float64(cachedTokens)/float64(promptTokens), 1)
	*h += homeHitRateWeight * (homeHitRate(hit) - *h)
}
