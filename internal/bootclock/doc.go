// Package bootclock is the steady clock of hazelpitch's processes. It never goes back, has nothing to do
// with the time of day, and counts the time for which the machine was suspended: the clock that Go reads
// does not, so that a lease or an age that was measured with it would look young on a machine that has
// just woken up.
package bootclock
