package measure

import (
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"
	"github.com/jedib0t/go-pretty/v6/table"
)

// routingSeed is the seed of all routing runs.
const routingSeed = 7

// routingScenario is one load for which choosers are compared.
type routingScenario struct {
	name  string
	setup setup
}

func routingScenarios() []routingScenario {
	base := setup{seed: routingSeed, engines: 12, zones: 4, gateways: 4, reportLag: 2 * time.Second, zoneDelay: 1500 * time.Microsecond}
	const length = 2 * time.Minute
	matching := workload{
		tenant: "matching", worth: 1, requestsPerSecond: 45, to: length, deadline: 10 * time.Second,
		sharedTokens: 512, subjectTokens: 3072, uniqueTokens: 512, outputTokens: 30, subjects: 3000, zipf: 1.2,
	}
	unshared := workload{
		tenant: "unshared", worth: 1, requestsPerSecond: 32, to: length, deadline: 10 * time.Second,
		uniqueTokens: 4096, outputTokens: 30,
	}
	prompted := matching
	prompted.sharedTokens, prompted.subjectTokens = 2048, 1536
	shared, alone, wide, long := base, base, base, base
	shared.workloads = []workload{matching}
	long.workloads = []workload{prompted}
	alone.workloads = []workload{unshared}
	wide.gateways = 40
	wide.workloads = []workload{matching}
	return []routingScenario{
		{"prompts about 3,000 subjects, 12 engines, 4 gateways", shared},
		{"prompts about 3,000 subjects, 12 engines, 40 gateways", wide},
		{"half of each prompt shared by all, 12 engines, 4 gateways", long},
		{"no shared prefixes, 12 engines, 4 gateways", alone},
	}
}

// Routing compares the product's routing with other choosers, and writes a table for each scenario.
func Routing(output io.Writer) error {
	for _, scenario := range routingScenarios() {
		rows := table.NewWriter()
		rows.SetTitle(scenario.name)
		rows.AppendHeader(table.Row{"choice", "cache hit share", "first token p50", "p99", "in time", "imbalance"})
		for _, name := range []string{chooserRandom, chooserLeastLoad, chooserRouter, chooserClairvoyant} {
			setup := scenario.setup
			setup.chooser = name
			world, err := newWorld(setup)
			if err != nil {
				return trace.Wrap(err)
			}
			results := world.run()
			tenant := results.tenant(setup.workloads[0].tenant)
			rows.AppendRow(table.Row{
				name, fmt.Sprintf("%.3f", results.cacheHitShare()),
				results.firstTokenQuantile(0.5).Round(time.Millisecond), results.firstTokenQuantile(0.99).Round(time.Millisecond),
				fmt.Sprintf("%.3f", tenant.worth/tenant.offered), fmt.Sprintf("%.2f", results.meanImbalance()),
			})
		}
		if _, err := fmt.Fprintln(output, rows.Render()); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
