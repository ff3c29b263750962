// Package usagereport counts at a relay the requests that start to run, by tenant, and reports the counts to the leader of
// the controllers. Counts are assigned to windows of the controllers' time using this process's monotonic clock, so that a
// jump of the wall clock moves no count. A report is sent until it is acknowledged, always with the same number and counts,
// so that a lost response does not cause double counting.
package usagereport
