package experiment

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

const (
	bytesPerToken = 4
	// routingBlockTokens is the length in tokens of one prefix block of package routing.
	routingBlockTokens = routing.PrefixBlockBytes / bytesPerToken
)

// request is one arrival at a gateway.
type request struct {
	*scenario.Arrival
	kind     *scenario.Kind
	tenant   string
	exchange string
	deadline time.Duration // time of the last token; 0 is none
	// estimatedPrompt and estimatedOutput are the gateway's estimates in tokens.
	estimatedPrompt int
	estimatedOutput int
	routingBlocks   []uint64
	engineBlocks    []uint64

	// attempts counts the attempts at engines; excluded names the engines that refused or crashed.
	attempts     int
	excluded     []string
	startedAt    time.Duration
	firstTokenAt time.Duration
	overloaded   bool
	finished     bool
	current      *attempt
}

// attempt is one attempt of a request at its engines.
type attempt struct {
	*request
	gateway *gateway
	id      string
	choice  routing.Choice
	// prefillEngine is nil when the decode engine also does the prefill.
	prefillEngine *engine
	decodeEngine  *engine
	cachedTokens  int
	// submitted is true once an engine has accepted the request.
	submitted bool
	over      bool
}

func (w *world) newRequest(arrival *scenario.Arrival) *request {
	kind := &w.scenario.Kinds[arrival.Kind]
	created := &request{Arrival: arrival, kind: kind, tenant: tenantName(arrival.Tenant), exchange: strconv.Itoa(arrival.Number)}
	if kind.Deadline > 0 {
		created.deadline = arrival.At + kind.Deadline
	}
	blockTokens := 0
	for _, service := range w.scenario.Services {
		if service.Name == kind.Service {
			blockTokens = service.EngineProfile().BlockTokens
		}
	}
	created.routingBlocks = prefixBlocks(arrival, routingBlockTokens, routing.MaxPrefixBlocks)
	created.engineBlocks = prefixBlocks(arrival, blockTokens, arrival.PromptTokens)
	return created
}

func tenantName(index int) string { return "tenant-" + strconv.Itoa(index+1) }

// prefixBlocks returns the IDs of a prompt's full prefix blocks, each of which covers all
// tokens before its end. Prompts of one kind, tenant and subject share a prefix.
func prefixBlocks(arrival *scenario.Arrival, blockTokens, most int) []uint64 {
	if blockTokens <= 0 {
		return nil
	}
	count := min(arrival.PromptTokens/blockTokens, most)
	blocks := make([]uint64, count)
	chain := chainHash(uint64(arrival.Tenant), uint64(arrival.Kind))
	for i := range blocks {
		shared := (i+1)*blockTokens <= arrival.SharedTokens
		if shared {
			chain = chainHash(chain, uint64(arrival.Subject)+1)
		} else {
			chain = chainHash(chain, uint64(arrival.Number)|1<<63)
		}
		blocks[i] = chain
	}
	return blocks
}

func chainHash(chain, next uint64) uint64 {
	var bytes [16]byte
	binary.LittleEndian.PutUint64(bytes[:8], chain)
	binary.LittleEndian.PutUint64(bytes[8:], next)
	return xxhash.Sum64(bytes[:])
}

// declaredTokens are the tokens that operators declare for a kind's requests: their mean.
type declaredTokens struct {
	prompt int
	output int
}

func declareTokens(kinds int, arrivals []scenario.Arrival) []declaredTokens {
	counts := make([]int, kinds)
	sums := make([]declaredTokens, kinds)
	for _, arrival := range arrivals {
		counts[arrival.Kind]++
		sums[arrival.Kind].prompt += arrival.PromptTokens
		sums[arrival.Kind].output += arrival.OutputTokens
	}
	for i, count := range counts {
		if count > 0 {
			sums[i].prompt /= count
			sums[i].output /= count
		}
	}
	return sums
}
