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
)

const (
	// orderWorkers and pollWorkers bound the exchanges with engines that run at once;
	// polls have their own, so that silent engines hold up no order. A poll is two round
	// trips: 930 engines, two thirds of them 50 ms away, keep about 130 workers busy.
	orderWorkers = 32
	pollWorkers  = 512
	// orderQueue and pollQueue bound what waits for a worker; what does not fit
	// counts as lost.
	orderQueue = 4096
	pollQueue  = 4096
	// engineTimeout ends an exchange with an engine that does not answer.
	engineTimeout = 800 * time.Millisecond
	// engineIdleTimeout closes connections that no exchange has used.
	engineIdleTimeout = 30 * time.Second
	// maximumControlBody bounds the answers that a controller reads from outside.
	maximumControlBody = 8 << 20
)

// engines exchanges orders, fences and readings with engines and turns every
// exchange, answered or lost, into exactly one input.
type engines struct {
	client *fasthttp.Client
	orders chan control.Output
	polls  chan control.Output
	// deliver hands the outcome to the loop.
	deliver func(context.Context, control.Input) error
	// exchanged counts exchanges by duty and outcome.
	exchanged func(duty string, answered bool)
}

func newEngines(dial dialing.Dial, deliver func(context.Context, control.Input) error, exchanged func(string, bool)) *engines {
	return &engines{
		client:    newOutsideClient(dial),
		orders:    make(chan control.Output, orderQueue),
		polls:     make(chan control.Output, pollQueue),
		deliver:   deliver,
		exchanged: exchanged,
	}
}

// newOutsideClient returns the HTTP client towards engines and the machine list.
func newOutsideClient(dial dialing.Dial) *fasthttp.Client {
	return &fasthttp.Client{
		NoDefaultUserAgentHeader:  true,
		MaxConnsPerHost:           orderWorkers,
		MaxIdleConnDuration:       engineIdleTimeout,
		MaxResponseBodySize:       maximumControlBody,
		MaxIdemponentCallAttempts: 1,
		Dial: func(address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(context.Background(), engineTimeout)
			defer cancel()
			return dial(ctx, "tcp", address)
		},
	}
}

// accept queues an exchange; it reports the input that stands for its loss when the
// queue is full. It never blocks.
func (e *engines) accept(output control.Output) (lost control.Input) {
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

// work carries out exchanges of one queue until the context ends.
func (e *engines) work(ctx context.Context, queue <-chan control.Output) {
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

// lostInput is the input that tells that an exchange had no answer.
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
		e.exchanged("orders", answer != nil)
		return control.OrderAnswered{Engine: request.Engine, Fence: request.Order.Fence, Answer: answer}
	case control.SendFence:
		answer := e.post(request.Address, enginecontract.PathFence, enginecontract.Fence{Epoch: request.Epoch})
		e.exchanged("fences", answer != nil)
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
		e.exchanged("polls", false)
		return received
	}
	received.State = state
	load := new(enginecontract.LoadReport)
	if err := get(e.client, request.Address, enginecontract.PathLoad, load); err == nil {
		received.Load = load
	}
	e.exchanged("polls", true)
	return received
}

// post sends a body and returns the engine's answer, or nil when it is lost.
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

// get reads a JSON answer of an outside system.
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
