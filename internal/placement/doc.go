// Package placement decides where a site's requests run: which engine reads a prompt, which
// one generates, where parts of a prompt are copied from, what waits for another reading and
// what is refused. It also holds what those decisions go by: the work that engines have, how
// fast they read, and what they keep in memory.
//
// It is pure: it reads no clock, does no I/O and starts no goroutine. Its owner brings what is
// known of the engines, with the time, and carries out the decision.
package placement
