package property

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// maximumSendings bounds how often a caller sends one request.
	maximumSendings = 5
	// answerTimeout bounds a caller's wait for one answer.
	answerTimeout = 60 * time.Second
	longestPause  = 2 * time.Second
	// sentTwiceOneIn: one in so many sendings of a claimed request goes to two gateways at
	// once.
	sentTwiceOneIn = 5
)

// caller sends requests one after the other, and resends those without an outcome.
type caller struct {
	client   *http.Client
	gateways *gateways
	count    int // of gateways
	random   *rand.Rand
	ledger   *ledger
}

func newCaller(joined *network, served *gateways, gatewayCount, number int, seed uint64, told *ledger) *caller {
	host := callerHost(number)
	return &caller{
		gateways: served, count: gatewayCount, ledger: told,
		random: rand.New(rand.NewPCG(seed, uint64(number))),
		client: &http.Client{Transport: &http.Transport{
			DialContext: joined.dialFrom(host), DisableKeepAlives: true, DisableCompression: true,
		}},
	}
}

func callerHost(number int) string { return fmt.Sprintf("10.9.0.%d", number+1) }

// carry sends a request until it has an outcome or the sendings are used up.
func (c *caller) carry(of *request) {
	for sent := 0; sent < maximumSendings; sent++ {
		if sent > 0 {
			time.Sleep(time.Duration(c.random.Int64N(int64(longestPause))))
		}
		if of.claimed() && c.random.IntN(sentTwiceOneIn) == 0 {
			var other sync.WaitGroup
			address := c.gateways.address(c.random.IntN(c.count))
			other.Go(func() { c.send(address, of) })
			c.send(c.gateways.address(c.random.IntN(c.count)), of)
			other.Wait()
			sent++
			continue
		}
		if c.send(c.gateways.address(c.random.IntN(c.count)), of).final() {
			return
		}
	}
}

func (c *caller) send(address string, of *request) *sending {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	got := send(ctx, c.client, address, of)
	c.ledger.add(got)
	return got
}
