// Package servedversions decides which versions of the back ends' software can have begun streams. The leader of the controllers
// records a version in the replicated log before any relay learns of a back end that has it, and removes it when no stream that it
// began can go on. What is recorded outlives relays, leaders and a loss of all processes, so that a statement of the leader includes
// every version that can have begun a stream. The package does no I/O and reads no clock.
package servedversions
