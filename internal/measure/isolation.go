package measure

import (
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"
	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/hazelpitch/hazelpitch/internal/admission"
)

const (
	isolationSeed = 11
	neighbour     = "neighbour"
	flooding      = "flooding"
)

// neighbourLoad returns a steady load of a third of the engines' capacity.
func neighbourLoad(length time.Duration) workload {
	return workload{
		tenant: neighbour, worth: 1, requestsPerSecond: 10, to: length, deadline: 10 * time.Second,
		uniqueTokens: 4096, outputTokens: 30,
	}
}

// floodLoad returns a load of about ten times the engines' capacity.
func floodLoad(length time.Duration) workload {
	flood := neighbourLoad(length)
	flood.tenant, flood.requestsPerSecond = flooding, 320
	return flood
}

// admissionRow is one row of the isolation table: a kind of admission, with or without the flood.
type admissionRow struct {
	name      string
	admission *admission.Config
	flood     bool
}

func isolationRows() []admissionRow {
	return []admissionRow{
		{"product, no flood", &admission.Config{}, false},
		{"product, flood", &admission.Config{}, true},
		{"one queue first in first out, flood", &admission.Config{FirstInFirstOut: true}, true},
		{"no admission, flood", nil, true},
	}
}

func isolationWorld(row admissionRow, length time.Duration) (*world, error) {
	chosen := setup{
		seed: isolationSeed, engines: 12, zones: 4, gateways: 4, reportLag: 2 * time.Second, zoneDelay: 1500 * time.Microsecond,
		chooser: chooserRouter, admission: row.admission, workloads: []workload{neighbourLoad(length)},
	}
	if row.flood {
		chosen.workloads = append(chosen.workloads, floodLoad(length))
	}
	return newWorld(chosen)
}

// Isolation measures a tenant's goodput beside a tenant that sends ten times the engines' capacity, and writes a table.
func Isolation(output io.Writer) error {
	const length = 2 * time.Minute
	rows := table.NewWriter()
	rows.SetTitle("a neighbour's goodput with and without a flooding tenant, 12 engines, 4 gateways, equal weights")
	rows.AppendHeader(table.Row{"admission", "neighbour in time", "refused", "late", "flooding in time", "refused", "late"})
	for _, row := range isolationRows() {
		world, err := isolationWorld(row, length)
		if err != nil {
			return trace.Wrap(err)
		}
		results := world.run()
		rows.AppendRow(append(append(table.Row{row.name}, shares(results.tenant(neighbour))...), shares(results.tenant(flooding))...))
	}
	_, err := fmt.Fprintln(output, rows.Render())
	return trace.Wrap(err)
}

// shares formats the share of the offered worth that completed in time, and the shares of requests that were refused and
// that were late.
func shares(result *tenantResult) table.Row {
	if result.offered == 0 {
		return table.Row{"-", "-", "-"}
	}
	all := float64(result.completed + result.refused + result.late)
	share := func(part float64) string { return fmt.Sprintf("%.3f", part) }
	return table.Row{share(result.worth / result.offered), share(float64(result.refused) / all), share(float64(result.late) / all)}
}
