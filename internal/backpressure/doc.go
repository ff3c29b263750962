// Package backpressure keeps what back ends have asked of this process: to be sent nothing for a while
// (Retry-After), or nothing any more (they are leaving). It decides nothing else, and does no I/O.
package backpressure
