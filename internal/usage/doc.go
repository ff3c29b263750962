// Package usage counts the tenants' requests in windows of true time, and fixes the counts of each window before they are
// reported to the platform. It is pure. A Ledger is part of the replicated state: every controller applies the same reports
// and closings in the same order. A Reporter exists only on the leader: it determines which windows to close and which one
// to report next.
package usage
