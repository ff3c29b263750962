package routing

import "time"

// sentWork is one request that this gateway has sent to a back end.
type sentWork struct {
	exchange     string
	at           time.Duration
	promptTokens int
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

func (w *ownWork) add(now time.Duration, exchange string, promptTokens int) {
	w.sent = append(w.sent, sentWork{exchange: exchange, at: now, promptTokens: promptTokens})
	w.unreported++
	w.unreportedPrompt += int64(promptTokens)
}

// finish removes the request and reports whether it was known.
func (w *ownWork) finish(now time.Duration, exchange string, hasReport bool) bool {
	for i := range w.sent {
		if w.sent[i].exchange != exchange {
			continue
		}
		if i >= len(w.sent)-w.unreported {
			w.unreported--
			w.unreportedPrompt -= int64(w.sent[i].promptTokens)
		} else if hasReport {
			w.finished = append(w.finished, now)
		}
		w.sent = append(w.sent[:i], w.sent[i+1:]...)
		return true
	}
	return false
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

func (w *ownWork) correction() Load {
	return Load{
		Running:             -len(w.finished),
		Waiting:             w.unreported,
		WaitingPromptTokens: w.unreportedPrompt,
	}
}
