package measure

import (
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"
	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/hazelpitch/hazelpitch/internal/admission"
)

const sheddingSeed = 13

// sheddingWorths are the worths of three kinds that are equal otherwise.
var sheddingWorths = []float64{12, 3, 0.5}

func worthName(worth float64) string { return fmt.Sprintf("worth %v", worth) }

// sheddingWorld returns a world in which one tenant sends requests of three kinds, each at two thirds of the engines'
// capacity.
func sheddingWorld(config *admission.Config, length time.Duration) (*world, error) {
	chosen := setup{
		seed: sheddingSeed, engines: 12, zones: 4, gateways: 4, reportLag: 2 * time.Second, zoneDelay: 1500 * time.Microsecond,
		chooser: chooserRouter, admission: config,
	}
	for _, worth := range sheddingWorths {
		chosen.workloads = append(chosen.workloads, workload{
			tenant: "one", kind: worthName(worth), worth: worth, requestsPerSecond: 21, to: length, deadline: 10 * time.Second,
			uniqueTokens: 4096, outputTokens: 30,
		})
	}
	return newWorld(chosen)
}

// Shedding measures which requests are refused at twice the engines' capacity, and writes a table.
func Shedding(output io.Writer) error {
	const length = 2 * time.Minute
	rows := table.NewWriter()
	rows.SetTitle("completed in time of three kinds at twice the engines' load, 12 engines, 4 gateways")
	rows.AppendHeader(table.Row{"admission", "worth 12", "worth 3", "worth 0.5", "of offered worth", "refused", "late"})
	for _, row := range []struct {
		name   string
		config *admission.Config
	}{
		{"product", &admission.Config{}},
		{"one queue first in first out", &admission.Config{FirstInFirstOut: true}},
		{"no admission", nil},
	} {
		world, err := sheddingWorld(row.config, length)
		if err != nil {
			return trace.Wrap(err)
		}
		results := world.run()
		cells := table.Row{row.name}
		for _, worth := range sheddingWorths {
			cells = append(cells, shares(results.kind(worthName(worth)))[0])
		}
		rows.AppendRow(append(cells, shares(results.tenant("one"))...))
	}
	_, err := fmt.Fprintln(output, rows.Render())
	return trace.Wrap(err)
}
