package planner_test

import (
	"testing"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/planner"
)

// BenchmarkPlan measures one decision for a service of the largest size that loses requests.
func BenchmarkPlan(b *testing.B) {
	observed := observation()
	observed.Engines = engines(450, 450, 0)
	observed.Demands[0].ArrivalsPerSecond *= 75
	decider := planner.New()
	for b.Loop() {
		observed.Now += time.Second
		decider.Plan(observed)
	}
}
