// Package engine is a stand-in for a model engine: an HTTP server that implements
// docs/ENGINE-CONTRACT.md with the timing of internal/enginemodel and the order handling
// of internal/standin/engine/orders, and that fails when a fault is set. Many engines can
// share one OS process. Output depends on the prompt alone (internal/standin/answertext)
// and every run is counted, so that a harness can check that callers got complete answers
// to their own requests and that no request ran twice.
package engine
