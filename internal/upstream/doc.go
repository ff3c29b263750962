// Package upstream performs single exchanges with engines and page services over fasthttp. It never
// retries. A failure carries a verdict that follows from known facts only: a request of which no byte was
// written was not run; the X-Run-State of a back end is trusted if the answer echoes the exchange; any
// other request may have run.
//
// Client is safe for concurrent use. An Answer belongs to one goroutine; an Interrupter may be used by any
// goroutine.
package upstream
