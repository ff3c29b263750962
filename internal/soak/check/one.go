package check

import "github.com/hazelpitch/hazelpitch/internal/soak/history"

// one finds back ends that receive orders of two holders with the same fencing token, a lower token after a higher
// one, or orders of holders that alternate within the lease.
func one(recorded *history.History) []Finding {
	byReplica := map[string][]history.Order{}
	var findings []Finding
	for _, order := range recorded.Orders {
		before := byReplica[order.Replica]
		if fault := orderFault(before, order, recorded.Bounds); fault != "" {
			findings = append(findings, newFinding(One, order.At, "back end %s got an order of %s with token %d: %s", order.Replica, order.Holder, order.Fence, fault))
		}
		byReplica[order.Replica] = append(before, order)
	}
	return findings
}

// orderFault describes which part of the rule an order breaks, given the earlier orders to the same back end; empty
// for none.
func orderFault(before []history.Order, order history.Order, bounds history.Bounds) string {
	for index := len(before) - 1; index >= 0; index-- {
		earlier := before[index]
		switch {
		case earlier.Holder == order.Holder:
			if earlier.Fence > order.Fence {
				return "the holder's own token was higher before"
			}
		case earlier.Fence == order.Fence:
			return "another holder has the same token"
		case earlier.Fence > order.Fence:
			return "another holder's token was higher before"
		case order.At-earlier.At < bounds.Lease && hadOrderWithinLease(before[:index], order.Holder, order, bounds):
			return "holders alternate within the lease"
		}
	}
	return ""
}

// hadOrderWithinLease reports whether the holder gave an earlier order within the lease.
func hadOrderWithinLease(before []history.Order, holder string, order history.Order, bounds history.Bounds) bool {
	for _, earlier := range before {
		if earlier.Holder == holder && order.At-earlier.At < bounds.Lease {
			return true
		}
	}
	return false
}
