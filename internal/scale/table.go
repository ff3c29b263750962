package scale

import (
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
)

// smallestPart is the least share of a core that the table shows.
const smallestPart = 0.0005

// Write prints a measurement as tables.
func (m *Measurement) Write(out io.Writer) {
	plan := m.Plan
	fmt.Fprintf(out, "%d nodes, %d replicas, %d models, %d tenants, %d zones in %d regions, %d voters, %d standbys; window %.1f s, revision %d, leader changes %.0f\n",
		plan.Nodes, plan.Replicas, plan.Models, plan.Tenants, plan.Zones, plan.Regions, plan.Controllers, plan.Standbys, m.Seconds, m.Revision, m.LeaderChanges)
	fmt.Fprintf(out, "requests decided: %d begun, %d refused %v, %d claimed\n", m.Traffic.Begun, m.Traffic.Refused, m.Traffic.Refusals, m.Traffic.Claimed)
	fmt.Fprintf(out, "since the start, inside a zone / between zones / between regions: node to engine %d / %d / %d, KV hand-over %d / %d / %d\n",
		m.Traffic.Distance.Zone, m.Traffic.Distance.Region, m.Traffic.Distance.Far,
		m.Traffic.HandOver.Zone, m.Traffic.HandOver.Region, m.Traffic.HandOver.Far)
	roles := table.NewWriter()
	roles.AppendHeader(table.Row{"role", "members", "% of a core", "memory MB", "disk MB", "received KB/s", "sent KB/s", "largest KB/s"})
	for _, usage := range m.Roles {
		roles.AppendRow(table.Row{usage.Role, usage.Count, percent(usage.Processor), fmt.Sprintf("%.2f", float64(usage.Resident)/1e6),
			fmt.Sprintf("%.2f", float64(usage.Disk)/1e6), kilobytes(usage.Received), kilobytes(usage.Sent), kilobytes(usage.Largest)})
	}
	fmt.Fprintln(out, roles.Render())
	duties := table.NewWriter()
	duties.AppendHeader(table.Row{"role", "duty", "messages/s", "received KB/s", "sent KB/s", "core %"})
	for _, usage := range m.Duties {
		if usage.Messages == 0 && usage.Received == 0 && usage.Sent == 0 {
			continue
		}
		duties.AppendRow(table.Row{usage.Role, usage.Duty, fmt.Sprintf("%.1f", usage.Messages), kilobytes(usage.Received), kilobytes(usage.Sent), percent(usage.Core)})
	}
	fmt.Fprintln(out, duties.Render())
	m.writeProfile(out)
	m.writeSpreads(out)
}

func (m *Measurement) writeProfile(out io.Writer) {
	if len(m.Profile) == 0 {
		return
	}
	parts := table.NewWriter()
	parts.AppendHeader(table.Row{"role", "where processor time goes", "% of a core"})
	for _, usage := range m.Profile {
		if usage.Processor >= smallestPart || usage.Role == RoleGateway {
			parts.AppendRow(table.Row{usage.Role, usage.Part, fmt.Sprintf("%.3f", 100*usage.Processor)})
		}
	}
	fmt.Fprintln(out, parts.Render())
}

func (m *Measurement) writeSpreads(out io.Writer) {
	if len(m.Spreads) == 0 {
		return
	}
	spreads := table.NewWriter()
	spreads.AppendHeader(table.Row{"changes", "number", "accept p50 s", "accept max s", "slowest node p50 s", "p99 s", "max s", "missing"})
	for _, spread := range m.Spreads {
		spreads.AppendRow(table.Row{spread.Name, spread.Changes, seconds(spread.AcceptP50), seconds(spread.AcceptMax),
			seconds(spread.SlowestP50), seconds(spread.SlowestP99), seconds(spread.SlowestMax), spread.Missing})
	}
	fmt.Fprintln(out, spreads.Render())
}

func percent(share float64) string {
	if share < 0 {
		return "not told apart"
	}
	return fmt.Sprintf("%.3f", 100*share)
}

func kilobytes(bytes float64) string { return fmt.Sprintf("%.2f", bytes/1000) }
func seconds(value float64) string   { return fmt.Sprintf("%.3f", value) }
