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
	// routingBlockTokens is the length of prompt that one of routing's blocks covers.
	routingBlockTokens = routing.PrefixBlockBytes / bytesPerToken
)

// request is one arrival on its way through a gateway.
type request struct {
	*scenario.Arrival
	kind     *scenario.Kind
	tenant   string
	exchange string
	deadline time.Duration // time of the last token; 0 is none
	// estimatedPrompt and estimatedOutput are what the gateway expects.
	estimatedPrompt int
	estimatedOutput int
	routingBlocks   []uint64
	engineBlocks    []uint64

	// exchanges counts the tries at engines; excluded are those that refused.
	exchanges int
	excluded  []string
	began     time.Duration
	first     time.Duration
	overload  bool
	ended     bool
	present   *flight
}

// flight is one try of a request at its engines.
type flight struct {
	*request
	gateway *gateway
	id      string
	choice  routing.Choice
	// prefill is nil when output does everything.
	prefill *engine
	output  *engine
	cached  int
	// submitted tells that an engine has taken the request on.
	submitted bool
	over      bool
}

func (w *world) newRequest(arrival *scenario.Arrival) *request {
	kind := &w.scenario.Kinds[arrival.Kind]
	made := &request{Arrival: arrival, kind: kind, tenant: tenantName(arrival.Tenant), exchange: strconv.Itoa(arrival.Number)}
	if kind.Deadline > 0 {
		made.deadline = arrival.At + kind.Deadline
	}
	blockTokens := 0
	for _, service := range w.scenario.Services {
		if service.Name == kind.Service {
			blockTokens = service.EngineProfile().BlockTokens
		}
	}
	made.routingBlocks = prefixBlocks(arrival, routingBlockTokens, routing.MaxPrefixBlocks)
	made.engineBlocks = prefixBlocks(arrival, blockTokens, arrival.PromptTokens)
	return made
}

func tenantName(index int) string { return "tenant-" + strconv.Itoa(index+1) }

// prefixBlocks returns the identities of a prompt's full blocks, each of which covers
// all before it. Prompts of one kind, tenant and subject share their beginning.
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

// declaredTokens is what operators declare a kind's requests to take: their mean.
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
