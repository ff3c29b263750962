// Package usagereport counts at a relay which tenants' requests begin to run, and tells the leader
// of the controllers. Counts are placed in windows of the time on which the controllers agree, by
// this process's steady clock, so that a jump of the time of day moves none. A report is sent until
// it is taken, always with the same number and counts, so that a lost answer counts nothing twice.
package usagereport
