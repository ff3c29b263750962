package routing

import "time"

// sentWork is one request that this gateway has sent to a back end.
type sentWork struct {
	exchange     string
	at           time.Duration
	promptTokens int
	// firstToken is when the first token came; 0 before.
	firstToken time.Duration
	// asHome tells that it was sent there as to the home of its prefix.
	asHome bool
}

// ownWork is what this gateway has sent to one back end and seen finish since the
// last load report. It is bounded by the gateway's requests in flight and by what
// happens between two reports.
type ownWork struct {
	// sent holds unfinished requests in the order of sending.
	sent []sentWork
	// unreported counts the requests at the end of sent that no report covers yet.
	unreported       int
	unreportedPrompt int64
	// finished holds the end times of requests that the last report still counts.
	finished []time.Duration
}

func (w *ownWork) add(sent sentWork) {
	w.sent = append(w.sent, sent)
	w.unreported++
	w.unreportedPrompt += int64(sent.promptTokens)
}

// sentAt returns when an exchange was sent; one that is not known any more was sent
// too long ago to tell anything.
func (w *ownWork) sentAt(exchange string) time.Duration {
	for i := range w.sent {
		if w.sent[i].exchange == exchange {
			return w.sent[i].at
		}
	}
	return neverConfirmed
}

// firstToken notes that the prompt of an exchange has been read.
func (w *ownWork) firstToken(now time.Duration, exchange string) {
	for i := range w.sent {
		if w.sent[i].exchange == exchange && w.sent[i].firstToken == 0 {
			w.sent[i].firstToken = now
			return
		}
	}
}

// finish removes the request and returns what was known of it.
func (w *ownWork) finish(now time.Duration, exchange string, hasReport bool) (sentWork, bool) {
	for i, ended := range w.sent {
		if ended.exchange != exchange {
			continue
		}
		if i >= len(w.sent)-w.unreported {
			w.unreported--
			w.unreportedPrompt -= int64(ended.promptTokens)
		} else if hasReport {
			w.finished = append(w.finished, now)
		}
		w.sent = append(w.sent[:i], w.sent[i+1:]...)
		return ended, true
	}
	return sentWork{}, false
}

// reported drops the corrections that a report measured at the given time covers.
func (w *ownWork) reported(at time.Duration) {
	for w.unreported > 0 {
		oldest := w.sent[len(w.sent)-w.unreported]
		if oldest.at > at {
			break
		}
		w.unreported--
		w.unreportedPrompt -= int64(oldest.promptTokens)
	}
	kept := w.finished[:0]
	for _, finishedAt := range w.finished {
		if finishedAt > at {
			kept = append(kept, finishedAt)
		}
	}
	w.finished = kept
}

// readingTokens sums the prompts of requests that a report covers and that have
// not given their first token.
func (w *ownWork) readingTokens() float64 {
	var sum float64
	for i := range w.sent[:len(w.sent)-w.unreported] {
		if w.sent[i].firstToken == 0 {
			sum += float64(w.sent[i].promptTokens)
		}
	}
	return sum
}
