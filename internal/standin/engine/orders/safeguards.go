package orders

import "github.com/hazelpitch/hazelpitch/internal/safeguard"

// Safeguards of an engine that tests may switch off.
const (
	// FenceCheck refuses orders at or below the highest fence seen.
	FenceCheck safeguard.Safeguard = "engine-fence-check"
	// ExpectedStateCheck refuses orders that expect another role.
	ExpectedStateCheck safeguard.Safeguard = "engine-expected-state-check"
	// OneOrder refuses an order while another is held.
	OneOrder safeguard.Safeguard = "engine-one-order"
	// DrainFirst lets every sequence end before a change begins.
	DrainFirst safeguard.Safeguard = "engine-drain-first"
	// DurableFence keeps the highest fence over a restart.
	DurableFence safeguard.Safeguard = "engine-durable-fence"
)
