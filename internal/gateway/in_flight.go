package gateway

import "sync/atomic"

// inFlight bounds the concurrent requests of a gateway. It is safe for concurrent use.
type inFlight struct {
	limit int64
	count atomic.Int64
}

func (f *inFlight) tryAcquire() bool {
	if f.count.Add(1) > f.limit {
		f.count.Add(-1)
		return false
	}
	return true
}

func (f *inFlight) release() { f.count.Add(-1) }
