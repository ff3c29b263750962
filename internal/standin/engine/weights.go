package engine

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

const (
	// weightAttempts bounds how often an engine asks the weight store.
	weightAttempts = 30
	// weightRetryPause is the time between attempts when the store is busy.
	weightRetryPause = 500 * time.Millisecond
)

// fetchWeights reads a model's weights from the store for a load-model order.
func (l *life) fetchWeights(order enginecontract.Order) {
	whole := false
	for attempt := 0; attempt < weightAttempts && !whole && l.ctx.Err() == nil; attempt++ {
		if attempt > 0 {
			time.Sleep(weightRetryPause)
		}
		var final bool
		if whole, final = l.readWeights(order); final {
			break
		}
	}
	l.lockThawed()
	l.machine.FinishWeightLoad(l.now(), order, whole)
	l.mutex.Unlock()
	l.poke()
}

// readWeights makes one attempt; final tells that another one can't help.
func (l *life) readWeights(order enginecontract.Order) (whole, final bool) {
	call, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(call)
	defer fasthttp.ReleaseResponse(answer)
	call.SetRequestURI("http://" + l.engine.config.WeightStore + enginecontract.PathWeights + order.Model + "/" + order.Version)
	answer.StreamBody = true
	if err := l.client.Do(call, answer); err != nil {
		return false, false
	}
	defer func() { _ = answer.CloseBodyStream() }()
	switch answer.StatusCode() {
	case fasthttp.StatusOK:
		if stream := answer.BodyStream(); stream != nil {
			_, err := io.Copy(io.Discard, stream)
			return err == nil, err == nil
		}
		return true, true
	case fasthttp.StatusNotFound:
		return false, true
	}
	return false, false
}
