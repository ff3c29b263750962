package measure

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// chunkTokens is the number of prompt tokens in one block for routing.
	chunkTokens = 128
	// chunksPerBlock is the number of routing blocks in one block of the engines' prefix cache.
	chunksPerBlock = 2
)

// request is one request of a workload.
type request struct {
	number       int
	arrivesAt    time.Duration
	gateway      int
	tenant       string
	kind         string
	weight       uint32
	worth        float64
	promptTokens int
	outputTokens int
	deadline     time.Duration // time of the last byte
	// routingBlocks and engineBlocks identify the prefix blocks of the prompt, for routing and for the engines' prefix
	// caches.
	routingBlocks []uint64
	engineBlocks  []uint64
}

// workload describes the requests of one tenant and kind.
type workload struct {
	tenant            string
	kind              string
	worth             float64
	requestsPerSecond float64
	from, to          time.Duration
	deadline          time.Duration
	// A prompt consists of sharedTokens, equal in all prompts of the tenant, then subjectTokens, equal in all prompts
	// about one subject, then uniqueTokens.
	sharedTokens  int
	subjectTokens int
	uniqueTokens  int
	outputTokens  int
	// subjects is the number of subjects; zipf is the exponent of the Zipf distribution from which they are drawn.
	subjects int
	zipf     float64
}

// generate returns the workload's requests sorted by time, distributed to gateways at random.
func (w *workload) generate(random *rand.Rand, gateways int) []request {
	var subjects *rand.Zipf
	if w.subjects > 1 {
		subjects = rand.NewZipf(random, w.zipf, 10, uint64(w.subjects-1))
	}
	var requests []request
	at := w.from
	for {
		at += time.Duration(random.ExpFloat64() / w.requestsPerSecond * float64(time.Second))
		if at >= w.to {
			return requests
		}
		subject := uint64(0)
		if subjects != nil {
			subject = subjects.Uint64()
		}
		created := request{
			arrivesAt: at, gateway: random.IntN(gateways), tenant: w.tenant, kind: w.kind, weight: 1, worth: w.worth,
			promptTokens: w.sharedTokens + w.subjectTokens + w.uniqueTokens,
			outputTokens: 1 + int(float64(w.outputTokens)*(0.5+random.Float64())),
			deadline:     at + w.deadline,
		}
		created.routingBlocks, created.engineBlocks = w.blocks(subject, random.Uint64())
		requests = append(requests, created)
	}
}

// blocks returns the identities of a prompt's blocks. Each identity covers its block and all blocks before it.
func (w *workload) blocks(subject, unique uint64) (routing, engine []uint64) {
	chunks := (w.sharedTokens + w.subjectTokens + w.uniqueTokens) / chunkTokens
	chain := xxhash.Sum64String(w.tenant)
	for chunk := range chunks {
		start := chunk * chunkTokens
		switch {
		case start < w.sharedTokens:
			chain = hashChain(chain, 0)
		case start < w.sharedTokens+w.subjectTokens:
			chain = hashChain(chain, subject+1)
		default:
			chain = hashChain(chain, unique)
		}
		routing = append(routing, chain)
		if (chunk+1)%chunksPerBlock == 0 {
			engine = append(engine, chain)
		}
	}
	return routing, engine
}

func hashChain(chain, next uint64) uint64 {
	var bytes [16]byte
	binary.LittleEndian.PutUint64(bytes[:8], chain)
	binary.LittleEndian.PutUint64(bytes[8:], next)
	return xxhash.Sum64(bytes[:])
}
