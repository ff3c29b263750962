package relay

import "github.com/hazelpitch/hazelpitch/internal/serving"

// fallbackAnswer is a whole error answer of a back end that another attempt should replace. The client gets it if no attempt
// brings a better one.
type fallbackAnswer struct {
	answer *answer
	body   []byte
}

// setFallbackAnswer keeps a whole error answer. One whose status promises that the request was not run is kept only for a safe
// request: a later attempt may run the request.
func (a *attemptTracker) setFallbackAnswer(answer *answer, body []byte) {
	if a.request.route.Kind == serving.KindSafe || !(refusal{status: answer.status}).promisesNotRun() {
		a.releaseFallback()
		a.fallback, a.fallbackMemory = &fallbackAnswer{answer: answer, body: body}, answer.takeMemory()
	}
}

// releaseFallback releases the memory of the kept error answer.
func (a *attemptTracker) releaseFallback() {
	if a.fallbackMemory != nil {
		a.fallbackMemory.Release()
		a.fallbackMemory = nil
	}
}
