// Package history holds what clients, back ends and the operator of a run saw, each with the time since
// the run began. Nothing in it comes from the processes that are looked at. A Recorder is safe for
// concurrent use; a History is only read.
package history
