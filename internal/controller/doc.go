// Package controller runs a controller process around the pure control.Core.
//
// One goroutine, the loop, owns the Core: it processes one input at a time and passes
// the outputs to the goroutines that execute them. A storage goroutine writes and
// syncs the log, several batches with one sync. Each peer has a sender with a
// bounded queue that drops the oldest message. A bounded number of workers exchange
// orders, fences and polls with engines, and one goroutine reads the machine list.
// Handlers of the internal protocol wait for the Core's answer to their call.
package controller
