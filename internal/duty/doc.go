// Package duty decides when the leader, as the holder of the platform's singleton duties, may call the platform. It is
// pure: it does no I/O and reads no clock. Calls on one subject are made one at a time, all calls keep the platform's
// minimum interval, and no further calls on a subject are made once the platform has seen a later holder there.
package duty
