package report

import (
	"fmt"
	"slices"
)

// overview has a row for each scenario and a column for each policy.
type overview struct {
	Header []string
	Rows   [][]string
}

// noRun is the cell of a policy without a run of the scenario.
const noRun = ""

// overview compares the policies over all scenarios by goodput and role changes.
func (s Summary) overview() overview {
	var policies []string
	for _, group := range s.Groups {
		for _, policy := range group.Policies {
			if !slices.Contains(policies, policy.Policy) {
				policies = append(policies, policy.Policy)
			}
		}
	}
	created := overview{Header: append([]string{"scenario"}, policies...)}
	for _, group := range s.Groups {
		row := []string{group.title()}
		for _, name := range policies {
			row = append(row, group.overviewCell(name))
		}
		created.Rows = append(created.Rows, row)
	}
	return created
}

// overviewCell returns a policy's goodput, as a share of the bound if there is one, and its
// role changes.
func (g Group) overviewCell(name string) string {
	index := slices.IndexFunc(g.Policies, func(policy PolicySummary) bool { return policy.Policy == name })
	if index < 0 {
		return noRun
	}
	policy := g.Policies[index]
	share, of := policy.ShareOfOffered, "offered"
	if policy.ShareOfBound != nil {
		share, of = *policy.ShareOfBound, "bound"
	}
	return fmt.Sprintf("%s of %s, changes: %s", asPercent(share.Median), of, asCount(policy.RoleChanges.Median))
}
