// Package bootclock implements the steady clock of hazelpitch's processes. The clock never goes back, is
// independent of the time of day, and counts the time for which the machine was suspended. Go's monotonic
// clock does not count suspensions: with it, a lease or an age would look too young on a machine that has
// just resumed.
package bootclock
