package measure

import (
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"
	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/routing"
)

const (
	// decisionCount is the number of decisions timed for each size.
	decisionCount = 20_000
	// decisionPrompts is the number of different prompts, used in turn.
	decisionPrompts = 500
	decisionTokens  = 4096
)

// decisionSizes are the sizes of the fleets, in replicas.
var decisionSizes = []int{10, 100, 1000}

// Decisions measures the time of routing decisions, including the observations of each request, and writes a table. The
// times are those of this machine; the work per decision does not depend on it.
func Decisions(output io.Writer) error {
	rows := table.NewWriter()
	rows.SetTitle("one routing decision, with Dispatch and Completion, on one core")
	rows.AppendHeader(table.Row{"replicas", "mixed engines", "prefill and decode pairs"})
	for _, size := range decisionSizes {
		mixed, err := decisionTime(size, []enginecontract.Role{enginecontract.RoleMixed})
		if err != nil {
			return trace.Wrap(err)
		}
		paired, err := decisionTime(size, []enginecontract.Role{enginecontract.RolePrefill, enginecontract.RoleDecode, enginecontract.RoleDecode})
		if err != nil {
			return trace.Wrap(err)
		}
		rows.AppendRow(table.Row{size, mixed, paired})
	}
	_, err := fmt.Fprintln(output, rows.Render())
	return trace.Wrap(err)
}

// decisionTime returns the mean time of one decision.
func decisionTime(size int, roles []enginecontract.Role) (time.Duration, error) {
	router, err := routing.New(routing.Config{Zone: zoneName(0), Seed: routingSeed})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	backEnds := make([]routing.BackEnd, size)
	for i := range backEnds {
		backEnds[i] = routing.BackEnd{
			Name: engineName(i), Service: serviceName, Zone: zoneName(i % 10), Role: roles[i%len(roles)], State: enginecontract.StateServing,
			HasLoad: true, Load: routing.Load{Running: i % 13, Waiting: i % 5, WaitingPromptTokens: int64(i%7) * 1000},
		}
	}
	router.SetBackEnds(backEnds)
	prompts := workload{tenant: "one", sharedTokens: 512, uniqueTokens: decisionTokens - 512}
	blocks := make([][]uint64, decisionPrompts)
	for i := range blocks {
		blocks[i], _ = prompts.blocks(0, uint64(i))
	}
	began := time.Now()
	for i := range decisionCount {
		req := routing.Request{Service: serviceName, PromptTokens: decisionTokens, OutputTokens: 100, PrefixBlocks: blocks[i%decisionPrompts]}
		choice, err := router.Pick(0, req, nil)
		if err != nil {
			return 0, trace.Wrap(err)
		}
		router.Observe(0, routing.Dispatch{BackEnd: choice.BackEnd.Name, Exchange: "x", PromptTokens: decisionTokens, PrefixBlocks: req.PrefixBlocks})
		router.Observe(0, routing.Completion{BackEnd: choice.BackEnd.Name, Exchange: "x"})
	}
	return time.Since(began) / decisionCount, nil
}
