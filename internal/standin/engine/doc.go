// Package engine is a stand-in for a model engine: an HTTP server that keeps
// docs/ENGINE-CONTRACT.md, takes the times of internal/enginemodel and the orders
// of internal/standin/engine/orders, and fails on demand. Many engines can share a
// process. Its output follows from the prompt (internal/standin/answertext), and it
// counts every run, so that callers can be checked for whole, own and single answers.
package engine
