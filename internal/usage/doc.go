// Package usage counts what tenants use in windows of true time, and fixes each window's counts
// before anybody is told of them. It is pure. A Ledger is part of the replicated state: every
// controller applies the same reports and closings in the same order. A Reporter is what the leader
// alone keeps: what is to be closed and told next.
package usage
