package routing

import "time"

// sentRequest is a request that this gateway has sent to a back end.
type sentRequest struct {
	exchange     string
	at           time.Duration
	promptTokens int
	// firstTokenAt is when the first token arrived; 0 before.
	firstTokenAt time.Duration
	// cachedAtHome is true if the prompt was expected in the cache only because the back end is its home.
	cachedAtHome bool
}

// ownRequests are the requests that this gateway has sent to one back end, and those that have finished since the
// last load report. Their number is bounded by the requests in flight and those between two reports.
type ownRequests struct {
	// requests holds the unfinished requests in the order of their dispatch.
	requests []sentRequest
	// unreported counts the last entries of requests that no load report covers yet.
	unreported       int
	unreportedTokens int64
	// finished holds the end times of requests that have ended but that the last load report still counts.
	finished []time.Duration
}

func (o *ownRequests) add(request sentRequest) {
	o.requests = append(o.requests, request)
	o.unreported++
	o.unreportedTokens += int64(request.promptTokens)
}

// sentAt returns when an exchange was sent. It returns neverConfirmed for an unknown one, which is too old to confirm
// anything.
func (o *ownRequests) sentAt(exchange string) time.Duration {
	for i := range o.requests {
		if o.requests[i].exchange == exchange {
			return o.requests[i].at
		}
	}
	return neverConfirmed
}

// recordFirstToken records that the prompt of an exchange has been prefilled.
func (o *ownRequests) recordFirstToken(now time.Duration, exchange string) {
	for i := range o.requests {
		if o.requests[i].exchange == exchange && o.requests[i].firstTokenAt == 0 {
			o.requests[i].firstTokenAt = now
			return
		}
	}
}

// finish removes the request of an exchange and returns it; false if the exchange is unknown. hasReport is true if the
// back end has reported its load, which may still count the request.
func (o *ownRequests) finish(now time.Duration, exchange string, hasReport bool) (sentRequest, bool) {
	for i, request := range o.requests {
		if request.exchange != exchange {
			continue
		}
		if i >= len(o.requests)-o.unreported {
			o.unreported--
			o.unreportedTokens -= int64(request.promptTokens)
		} else if hasReport {
			o.finished = append(o.finished, now)
		}
		o.requests = append(o.requests[:i], o.requests[i+1:]...)
		return request, true
	}
	return sentRequest{}, false
}

// applyReport ends the corrections for requests that were sent or finished up to the given time, since a load report
// measured at that time covers them.
func (o *ownRequests) applyReport(at time.Duration) {
	for o.unreported > 0 {
		oldest := o.requests[len(o.requests)-o.unreported]
		if oldest.at > at {
			break
		}
		o.unreported--
		o.unreportedTokens -= int64(oldest.promptTokens)
	}
	remaining := o.finished[:0]
	for _, finishedAt := range o.finished {
		if finishedAt > at {
			remaining = append(remaining, finishedAt)
		}
	}
	o.finished = remaining
}

// prefillTokens returns the prompt tokens of requests that a report covers and that have no first token yet.
func (o *ownRequests) prefillTokens() float64 {
	var sum float64
	for i := range o.requests[:len(o.requests)-o.unreported] {
		if o.requests[i].firstTokenAt == 0 {
			sum += float64(o.requests[i].promptTokens)
		}
	}
	return sum
}
