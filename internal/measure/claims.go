package measure

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/gravitational/trace"
	"github.com/jedib0t/go-pretty/v6/table"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

const (
	// claimTenants is the number of tenants at the size that the product is designed for.
	claimTenants = 33_000
	// claimOutcomeBytes is the size of the body of a recorded outcome: a registration's receipt.
	claimOutcomeBytes = 200
	claimHashBytes    = 32
	claimStartMs      = 1_000_000
	claimLifetimeMs   = 3_600_000
)

// claimCounts are the numbers of claims in the replicated state for which the cost is measured.
var claimCounts = []int{1_000, 50_000, 200_000}

// claimCost is the cost of a number of claims at one controller.
type claimCost struct {
	begin, finish time.Duration // to apply one command, mean
	logBytes      int           // of both commands of one claim
	heapBytes     uint64        // of one claim in the state, mean
	snapshot      time.Duration
	snapshotBytes int
}

// Claims measures the cost of claims in a controller's replicated state, and writes a table. The times are those of this
// machine; they include neither the round trip of the log nor its disk.
func Claims(output io.Writer) error {
	rows := table.NewWriter()
	rows.SetTitle("claims at one controller, 33,000 tenants, outcomes of 200 bytes, on one core")
	rows.AppendHeader(table.Row{"claims held", "begin", "finish", "log bytes per claim", "heap bytes per claim", "snapshot", "snapshot bytes per claim"})
	for _, count := range claimCounts {
		cost, err := measureClaims(count)
		if err != nil {
			return trace.Wrap(err)
		}
		rows.AppendRow(table.Row{
			count, cost.begin, cost.finish, cost.logBytes, cost.heapBytes, cost.snapshot.Round(time.Millisecond), cost.snapshotBytes / count,
		})
	}
	_, err := fmt.Fprintln(output, rows.Render())
	return trace.Wrap(err)
}

func measureClaims(count int) (claimCost, error) {
	var cost claimCost
	before := heapInUse()
	state := controlstate.New(safeguard.Set{})
	began := time.Now()
	for number := range count {
		if result := state.Apply(uint64(number+1), beginCommand(number)); result.Err != nil {
			return cost, trace.Wrap(result.Err)
		}
	}
	cost.begin = time.Since(began) / time.Duration(count)
	began = time.Now()
	for number := range count {
		if result := state.Apply(uint64(count+number+1), finishCommand(number)); result.Err != nil {
			return cost, trace.Wrap(result.Err)
		}
	}
	cost.finish = time.Since(began) / time.Duration(count)
	cost.logBytes = proto.Size(beginCommand(0)) + proto.Size(finishCommand(0))
	cost.heapBytes = (heapInUse() - before) / uint64(count)
	began = time.Now()
	data, err := state.Snapshot()
	if err != nil {
		return cost, trace.Wrap(err)
	}
	cost.snapshot, cost.snapshotBytes = time.Since(began), len(data)
	return cost, nil
}

func heapInUse() uint64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc
}

func beginCommand(number int) *v1.Command {
	return &v1.Command{ProposedAtMs: claimStartMs, Body: &v1.Command_BeginClaim{BeginClaim: &v1.BeginClaim{
		Tenant: claimTenant(number), Kind: "deposit-registration", Key: claimKey(number), Attempt: claimAttempt(number),
		BodyHash: bytes.Repeat([]byte{byte(number)}, claimHashBytes), Gateway: "gateway-0001", GatewayIncarnation: 1,
		ExpiresAtMs: claimStartMs + claimLifetimeMs,
	}}}
}

func finishCommand(number int) *v1.Command {
	return &v1.Command{ProposedAtMs: claimStartMs, Body: &v1.Command_FinishClaim{FinishClaim: &v1.FinishClaim{
		Tenant: claimTenant(number), Kind: "deposit-registration", Key: claimKey(number), Attempt: claimAttempt(number),
		Status: 200, ContentType: "application/json", Body: bytes.Repeat([]byte{'x'}, claimOutcomeBytes),
	}}}
}

func claimTenant(number int) string  { return fmt.Sprintf("tenant-%05d", number%claimTenants) }
func claimKey(number int) string     { return fmt.Sprintf("%032x", number) }
func claimAttempt(number int) string { return fmt.Sprintf("%032x", number+1) }
