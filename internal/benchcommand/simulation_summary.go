package benchcommand

import (
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/simulation"
)

// simulationSummary totals the results of the seeds of `hazelbench simulate`. Its exported fields are the
// JSON report.
type simulationSummary struct {
	Deployment         string                       `json:"deployment"`
	FirstSeed          uint64                       `json:"first_seed"`
	LastSeed           uint64                       `json:"last_seed"`
	Seeds              int                          `json:"seeds"`
	Steps              int                          `json:"steps"`
	VirtualSeconds     float64                      `json:"virtual_seconds"`
	Leaders            int                          `json:"leaders"`
	AcceptedChanges    int                          `json:"accepted_changes"`
	EngineOrders       int                          `json:"engine_orders"`
	ClaimedRequests    int                          `json:"claimed_requests"`
	OperatorOperations int                          `json:"operator_operations"`
	FaultsBegun        int                          `json:"faults_begun"`
	Faults             map[simulation.FaultKind]int `json:"faults"`
	// TraceHash is the hash of the trace hashes of all seeds, in the order of the seeds.
	TraceHash string               `json:"trace_hash"`
	Violation *simulationViolation `json:"violation,omitempty"`

	digest *xxhash.Digest
	// firstFailure is the first run that broke an invariant, or nil.
	firstFailure *simulation.Result
}

// simulationViolation is the broken invariant in the JSON report.
type simulationViolation struct {
	Seed      uint64  `json:"seed"`
	Check     string  `json:"check"`
	Detail    string  `json:"detail"`
	AtSeconds float64 `json:"at_seconds"`
}

func newSimulationSummary(options simulation.Options, first, last uint64) *simulationSummary {
	return &simulationSummary{
		Deployment: options.Deployment.Name, FirstSeed: first, LastSeed: last,
		Faults: map[simulation.FaultKind]int{}, digest: xxhash.New(),
	}
}

// add adds the result of the next seed.
func (s *simulationSummary) add(result simulation.Result) {
	s.Seeds++
	s.Steps += result.Steps
	s.VirtualSeconds += result.VirtualTime.Seconds()
	s.Leaders += result.Leaders
	s.AcceptedChanges += result.Accepted
	s.EngineOrders += result.Orders
	s.ClaimedRequests += result.Claims
	s.OperatorOperations += result.Operations
	for kind, count := range result.Faults {
		s.Faults[kind] += count
		s.FaultsBegun += count
	}
	_, _ = s.digest.Write(binary.BigEndian.AppendUint64(nil, result.TraceHash)) // never fails
	if result.Violation != nil && s.firstFailure == nil {
		s.firstFailure = &result
		s.Violation = &simulationViolation{
			Seed: result.Seed, Check: result.Violation.Check, Detail: result.Violation.Detail,
			AtSeconds: result.Violation.At.Seconds(),
		}
	}
}

// write prints the totals as a JSON object or as text.
func (s *simulationSummary) write(out io.Writer, asJSON bool) error {
	s.TraceHash = fmt.Sprintf("%016x", s.digest.Sum64())
	if asJSON {
		return printJSON(out, s)
	}
	fmt.Fprintf(out, "%s: %d seeds from %d, %d steps, %.0f s of virtual time\n", s.Deployment, s.Seeds, s.FirstSeed, s.Steps, s.VirtualSeconds)
	fmt.Fprintf(out, "%d leaders, %d accepted changes, %d engine orders, %d claimed requests, %d operator operations\n",
		s.Leaders, s.AcceptedChanges, s.EngineOrders, s.ClaimedRequests, s.OperatorOperations)
	fmt.Fprintf(out, "%d faults:\n", s.FaultsBegun)
	for _, kind := range slices.Sorted(maps.Keys(s.Faults)) {
		fmt.Fprintf(out, "  %-24s %d\n", kind, s.Faults[kind])
	}
	if s.Violation == nil {
		fmt.Fprintln(out, "every promise was kept")
	} else {
		fmt.Fprintf(out, "seed %d breaks a promise: %s at %.6f s: %s\n", s.Violation.Seed, s.Violation.Check, s.Violation.AtSeconds, s.Violation.Detail)
	}
	_, err := fmt.Fprintf(out, "trace hash %s\n", s.TraceHash)
	return trace.Wrap(err)
}
