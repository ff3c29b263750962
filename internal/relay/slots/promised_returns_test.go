package slots

import (
	"sync"
	"time"
)

// promisedReturns records the clients that were refused with a promise and have returned at their time.
type promisedReturns struct {
	mutex sync.Mutex
	// returnedAt are the times at which clients returned; served are those of the clients that got a slot.
	returnedAt, served []time.Duration
}

func (p *promisedReturns) record(at time.Duration, isServed bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.returnedAt = append(p.returnedAt, at)
	if isServed {
		p.served = append(p.served, at)
	}
}

// since returns how many clients returned at or after a time, and how many of them were served.
func (p *promisedReturns) since(from time.Duration) (returned, served int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return countSince(p.returnedAt, from), countSince(p.served, from)
}

func countSince(times []time.Duration, from time.Duration) (count int) {
	for _, at := range times {
		if at >= from {
			count++
		}
	}
	return count
}

// overload sends requests with a target in 100 ms, each with a signature of its own, for a length of time. A client that is
// refused with a promise returns once, at its time and at another relay. overload ends when all clients have ended.
func (f *testFleet) overload(length, interval time.Duration, firstSignature uint64) *promisedReturns {
	returns := &promisedReturns{}
	var group sync.WaitGroup
	senders := f.relays[2:]
	for number, end := 0, time.Now().Add(length); time.Now().Before(end); number++ {
		relay, next := senders[number%len(senders)], senders[(number+1)%len(senders)]
		signature := firstSignature + uint64(number)
		group.Go(func() {
			outcome := f.serve(relay, relay.urgentRequest(signature))
			if !outcome.Promised {
				return
			}
			time.Sleep(outcome.RetryAfter)
			at := next.now()
			returns.record(at, f.serve(next, next.urgentRequest(signature)).Kind == Granted)
		})
		time.Sleep(interval)
	}
	group.Wait()
	return returns
}

// urgentRequest returns a request with a target in 100 ms and a deadline in 2 s.
func (r *testRelay) urgentRequest(signature uint64) Request {
	request := r.request()
	request.Signature, request.TargetAt = signature, r.now()+100*time.Millisecond
	return request
}
