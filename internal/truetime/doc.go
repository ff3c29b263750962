// Package truetime determines the time of day that a majority of controllers agrees on, although the
// clocks of some may be wrong or jump. It reads no clock: each reading is passed in together with the
// steady time at which it was taken.
package truetime
