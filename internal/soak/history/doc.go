// Package history records what clients, back ends and the operator observed during a run, each event with the time
// since the run began. Nothing in it comes from the processes under test. A Recorder is safe for concurrent use; a
// History is read-only.
package history
