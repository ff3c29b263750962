package engine

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

const (
	// weightAttempts limits the attempts to fetch weights from the store.
	weightAttempts = 30
	// weightRetryPause is the time between two attempts.
	weightRetryPause = 500 * time.Millisecond
)

// fetchWeights reads a model's weights from the store for a load-model order and reports the
// result to the order machine.
func (p *process) fetchWeights(order enginecontract.Order) {
	loaded := false
	for attempt := 0; attempt < weightAttempts && !loaded && p.ctx.Err() == nil; attempt++ {
		if attempt > 0 {
			time.Sleep(weightRetryPause)
		}
		var final bool
		if loaded, final = p.attemptWeights(order); final {
			break
		}
	}
	p.lockThawed()
	p.machine.FinishWeightLoad(p.now(), order, loaded)
	p.mutex.Unlock()
	p.wakeDriver()
}

// attemptWeights makes one attempt. loaded is true if the weights were fetched, final if a further attempt is
// pointless.
func (p *process) attemptWeights(order enginecontract.Order) (loaded, final bool) {
	call, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(call)
	defer fasthttp.ReleaseResponse(answer)
	call.SetRequestURI("http://" + p.engine.config.WeightStore + enginecontract.PathWeights + order.Model + "/" + order.Version)
	answer.StreamBody = true
	if err := p.client.Do(call, answer); err != nil {
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
