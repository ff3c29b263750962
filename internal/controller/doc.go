// Package controller runs a controller process around the pure control.Core.
//
// One goroutine, the loop, owns the Core: it takes inputs one at a time and hands
// the outputs to the goroutines that carry them out. A storage goroutine writes and
// syncs the log, several batches with one sync; each peer has a sender with a
// bounded channel that drops the oldest; a bounded number of workers exchange
// orders, fences and readings with engines; one goroutine reads the machine list.
// Handlers of the internal protocol wait for the Core's answer to their call.
package controller
