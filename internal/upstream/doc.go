// Package upstream carries out single exchanges with engines and page services over
// fasthttp. It never retries and never guesses: a failure carries the verdict that the
// facts allow. Nothing written to a connection is not run; a back end's own X-Run-State
// is believed when the answer echoes the exchange; anything else may have run.
//
// Client is safe for concurrent use. An Answer belongs to one goroutine; an
// Interrupter may be used by any.
package upstream
