package report

import (
	"slices"
	"strings"

	"github.com/hazelpitch/hazelpitch/internal/experiment"
)

// maxTenants is the number of tenants that are listed; the others are summed.
const maxTenants = 10

// otherTenants is the name of the row that sums the refusals of the tenants beyond maxTenants.
const otherTenants = "others"

// refusalTable holds one run's refusals: a row for each tenant and a column for each verdict
// with its reason.
type refusalTable struct {
	Policy  string
	Reasons []string
	Rows    []refusalRow
}

// refusalRow is the refusals of one tenant, in the order of the reasons.
type refusalRow struct {
	Tenant string
	Counts []int
	total  int
}

// newRefusalTable sums a run's refusals; tenants with the most refusals are first.
func newRefusalTable(run experiment.Run) refusalTable {
	table := refusalTable{Policy: runLabel(run)}
	for _, refusal := range run.Refusals {
		reason := refusal.Verdict + " " + refusal.Reason
		if !slices.Contains(table.Reasons, reason) {
			table.Reasons = append(table.Reasons, reason)
		}
	}
	slices.Sort(table.Reasons)
	for _, refusal := range run.Refusals {
		reason := slices.Index(table.Reasons, refusal.Verdict+" "+refusal.Reason)
		table.add(refusal.Tenant, reason, refusal.Count)
	}
	slices.SortFunc(table.Rows, func(one, other refusalRow) int {
		if one.total != other.total {
			return other.total - one.total
		}
		return strings.Compare(one.Tenant, other.Tenant)
	})
	table.sumOthers()
	return table
}

func (r *refusalTable) add(tenant string, reason, count int) {
	index := slices.IndexFunc(r.Rows, func(row refusalRow) bool { return row.Tenant == tenant })
	if index < 0 {
		index = len(r.Rows)
		r.Rows = append(r.Rows, refusalRow{Tenant: tenant, Counts: make([]int, len(r.Reasons))})
	}
	r.Rows[index].Counts[reason] += count
	r.Rows[index].total += count
}

// sumOthers combines the tenants beyond maxTenants in one row.
func (r *refusalTable) sumOthers() {
	if len(r.Rows) <= maxTenants {
		return
	}
	rest := r.Rows[maxTenants:]
	r.Rows = slices.Clone(r.Rows[:maxTenants])
	for _, row := range rest {
		for reason, count := range row.Counts {
			r.add(otherTenants, reason, count)
		}
	}
}
