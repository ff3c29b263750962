package orders

import "github.com/hazelpitch/hazelpitch/internal/safeguard"

// Safeguards of an engine that tests can disable.
const (
	// FenceCheck refuses orders at or below the highest fence received.
	FenceCheck safeguard.Safeguard = "engine-fence-check"
	// ExpectedStateCheck refuses orders whose expected role is not the engine's.
	ExpectedStateCheck safeguard.Safeguard = "engine-expected-state-check"
	// OneOrder refuses an order while another one is in progress.
	OneOrder safeguard.Safeguard = "engine-one-order"
	// DrainFirst lets every sequence finish before a change begins.
	DrainFirst safeguard.Safeguard = "engine-drain-first"
	// DurableFence keeps the highest fence across a restart.
	DurableFence safeguard.Safeguard = "engine-durable-fence"
)
