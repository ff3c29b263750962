// Package placement decides where a site's requests run: which engine prefills a prompt, which one
// generates, where prefix blocks are fetched from, which requests wait for another prefill and which
// are refused. It also holds the inputs of those decisions: the work queued at each engine, the
// prefill speed of each engine and the contents of its prefix cache.
//
// It is pure: it reads no clock, does no I/O and starts no goroutine. The caller passes the state of
// the engines and the time, and carries out the decision.
package placement
