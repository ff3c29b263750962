// Package backpressure records what back ends have requested of this process: a backoff (Retry-After), a request limit,
// or no further requests because they are leaving. It makes no other decisions and does no I/O.
package backpressure
