package property

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/http1/checkedconn"
)

const (
	// maximumAttempts bounds the attempts of one request.
	maximumAttempts = 5
	// answerTimeout bounds a caller's wait for one response.
	answerTimeout = 60 * time.Second
	longestPause  = 2 * time.Second
	// doubleSendOneIn sets how often a claimed request is sent twice at once, to drawn gateways: on average, in one of
	// this many attempts.
	doubleSendOneIn = 5
)

// caller sends requests one after the other and repeats those without an outcome.
type caller struct {
	client       *http.Client
	gateways     *gateways
	gatewayCount int
	random       *rand.Rand
	ledger       *ledger
}

func newCaller(memoryNet *network, targets *gateways, gatewayCount, number int, seed uint64, outcomes *ledger) *caller {
	host := callerHost(number)
	transport := checkedconn.NewTransport(memoryNet.dialFrom(host), nil)
	transport.DisableKeepAlives, transport.DisableCompression = true, true
	return &caller{
		gateways: targets, gatewayCount: gatewayCount, ledger: outcomes,
		random: rand.New(rand.NewPCG(seed, uint64(number))),
		client: &http.Client{Transport: transport},
	}
}

func callerHost(number int) string { return fmt.Sprintf("10.9.0.%d", number+1) }

// sendUntilComplete sends a request until a single attempt has an outcome or maximumAttempts is reached. After a double
// send it continues whatever the responses are.
func (c *caller) sendUntilComplete(of *request) {
	for sent := 0; sent < maximumAttempts; sent++ {
		if sent > 0 {
			time.Sleep(time.Duration(c.random.Int64N(int64(longestPause))))
		}
		if of.isClaimed() && c.random.IntN(doubleSendOneIn) == 0 {
			var second sync.WaitGroup
			address := c.gateways.address(c.random.IntN(c.gatewayCount))
			second.Go(func() { c.send(address, of) })
			c.send(c.gateways.address(c.random.IntN(c.gatewayCount)), of)
			second.Wait()
			sent++
			continue
		}
		if c.send(c.gateways.address(c.random.IntN(c.gatewayCount)), of).isFinal() {
			return
		}
	}
}

func (c *caller) send(address string, of *request) *attempt {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	sent := send(ctx, c.client, address, of)
	c.ledger.add(sent)
	return sent
}
