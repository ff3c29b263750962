package experiment_test

import (
	"testing"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/experiment"
)

// BenchmarkSimulate simulates one minute of six busy engines.
func BenchmarkSimulate(b *testing.B) {
	const length = time.Minute
	options := experiment.Options{
		Scenario: fleet(length), Arrivals: poisson(length, 1, constant(10), constant(50)), Seed: 1, Policy: experiment.ProductPolicy(),
	}
	for b.Loop() {
		if _, err := experiment.Simulate(options); err != nil {
			b.Fatal(err)
		}
	}
}
