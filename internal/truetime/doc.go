// Package truetime finds the time of day on which controllers agree, though the clocks of some may be
// wrong or jump. It is pure: readings come in with the steady time at which they were taken.
package truetime
