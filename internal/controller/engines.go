package controller

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/http1/answerhead"
	"github.com/hazelpitch/hazelpitch/internal/http1/checkedconn"
)

const (
	// orderWorkers and pollWorkers limit the concurrent exchanges with engines. Polls have
	// their own workers, so that engines that do not answer delay no order. A poll takes two
	// round trips: 930 engines, two thirds of them 50 ms away, keep about 130 workers busy.
	orderWorkers = 32
	pollWorkers  = 512
	// orderQueue and pollQueue limit the exchanges that wait for a worker; an exchange that
	// finds the queue full counts as lost.
	orderQueue = 4096
	pollQueue  = 4096
	// outsideDialTimeout limits an attempt to connect to an engine or the platform. It is shorter than the second after which
	// the kernel repeats a lost SYN packet, so that the next attempt is made sooner.
	outsideDialTimeout = 500 * time.Millisecond
	// engineTimeout limits an exchange with an engine.
	engineTimeout = 800 * time.Millisecond
	// engineIdleTimeout is how long an idle connection is kept open.
	engineIdleTimeout = 30 * time.Second
	// maxEngineAnswerBytes limits the body of an answer of an engine. All workers may read one at the same time.
	maxEngineAnswerBytes = 128 << 10
)

// engines exchanges orders, fences and polls with engines and turns every
// exchange, answered or lost, into exactly one input.
type engines struct {
	client *fasthttp.Client
	orders chan control.Output
	polls  chan control.Output
	// deliver passes the input that reports the outcome of an exchange to the loop.
	deliver func(context.Context, control.Input) error
	// countExchange counts exchanges by duty and by whether they were answered.
	countExchange func(duty string, answered bool)
}

func newEngines(dial dialing.Dial, deliver func(context.Context, control.Input) error, exchanged func(string, bool)) *engines {
	return &engines{
		client:        newExternalClient(dial, maxEngineAnswerBytes),
		orders:        make(chan control.Output, orderQueue),
		polls:         make(chan control.Output, pollQueue),
		deliver:       deliver,
		countExchange: exchanged,
	}
}

// newExternalClient returns the HTTP client for engines or the machine list; maxBodyBytes limits the body of an answer.
func newExternalClient(dial dialing.Dial, maxBodyBytes int) *fasthttp.Client {
	return &fasthttp.Client{
		NoDefaultUserAgentHeader:  true,
		MaxConnsPerHost:           orderWorkers,
		MaxIdleConnDuration:       engineIdleTimeout,
		MaxResponseBodySize:       maxBodyBytes,
		MaxIdemponentCallAttempts: 1,
		ReadBufferSize:            answerhead.MaxBytes,
		Dial: func(address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(context.Background(), engineTimeout)
			defer cancel()
			return checkedconn.WithChecks(dial)(ctx, "tcp", address)
		},
	}
}

// enqueue queues an exchange. When the queue is full it returns the input that reports
// the exchange as lost. It never blocks.
func (e *engines) enqueue(output control.Output) (lost control.Input) {
	queue := e.orders
	if _, poll := output.(control.PollEngine); poll {
		queue = e.polls
	}
	select {
	case queue <- output:
		return nil
	default:
		return lostInput(output)
	}
}

// runWorker executes the exchanges of one queue until the context ends.
func (e *engines) runWorker(ctx context.Context, queue <-chan control.Output) {
	for {
		select {
		case <-ctx.Done():
			return
		case output := <-queue:
			if e.deliver(ctx, e.exchange(output)) != nil {
				return
			}
		}
	}
}

// lostInput returns the input that reports an exchange without an answer.
func lostInput(output control.Output) control.Input {
	switch request := output.(type) {
	case control.SendOrder:
		return control.OrderAnswered{Engine: request.Engine, Fence: request.Order.Fence}
	case control.SendFence:
		return control.FenceAnswered{Engine: request.Engine, Epoch: request.Epoch}
	case control.PollEngine:
		return control.EngineStateReceived{Engine: request.Engine}
	}
	return nil
}

func (e *engines) exchange(output control.Output) control.Input {
	switch request := output.(type) {
	case control.SendOrder:
		answer := e.post(request.Address, enginecontract.PathOrders, request.Order)
		e.countExchange("orders", answer != nil)
		return control.OrderAnswered{Engine: request.Engine, Fence: request.Order.Fence, Answer: answer}
	case control.SendFence:
		answer := e.post(request.Address, enginecontract.PathFence, enginecontract.Fence{Epoch: request.Epoch})
		e.countExchange("fences", answer != nil)
		return control.FenceAnswered{Engine: request.Engine, Epoch: request.Epoch, Answer: answer}
	case control.PollEngine:
		return e.poll(request)
	}
	return lostInput(output)
}

func (e *engines) poll(request control.PollEngine) control.Input {
	received := control.EngineStateReceived{Engine: request.Engine}
	state := new(enginecontract.EngineState)
	if err := get(e.client, request.Address, enginecontract.PathState, state); err != nil {
		e.countExchange("polls", false)
		return received
	}
	received.State = state
	load := new(enginecontract.LoadReport)
	if err := get(e.client, request.Address, enginecontract.PathLoad, load); err == nil {
		received.Load = load
	}
	e.countExchange("polls", true)
	return received
}

// post sends a body and returns the engine's answer, or nil when there is no valid answer.
func (e *engines) post(address, path string, body any) *enginecontract.OrderAnswer {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetRequestURI("http://" + address + path)
	request.SetBody(encoded)
	if err := e.client.DoTimeout(request, response, engineTimeout); err != nil {
		return nil
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK && status != fasthttp.StatusConflict {
		return nil
	}
	answer := new(enginecontract.OrderAnswer)
	if json.Unmarshal(response.Body(), answer) != nil {
		return nil
	}
	return answer
}

// get decodes the JSON response of an external system.
func get(client *fasthttp.Client, address, path string, into any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	if err := client.DoTimeout(request, response, engineTimeout); err != nil {
		return trace.Wrap(err, "GET %s%s", address, path)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return trace.BadParameter("GET %s%s: status %d", address, path, response.StatusCode())
	}
	return trace.Wrap(json.Unmarshal(response.Body(), into), "GET %s%s", address, path)
}
