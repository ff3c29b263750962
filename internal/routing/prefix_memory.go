package routing

import "github.com/hashicorp/golang-lru/v2/simplelru"

const (
	// placementsPerBlock bounds the back ends remembered for one block.
	placementsPerBlock = 2
	// rememberedNodes bounds the back ends of one prefixView.
	rememberedNodes = 4
	// tokensPerBlock is the usual number of prompt tokens in one prefix block.
	tokensPerBlock = PrefixBlockBytes / 4
)

// placements are the back ends that got a block last, newest first; 0 is none.
type placements [placementsPerBlock]uint64

// rememberedBlock is what is known of one prefix block.
type rememberedBlock struct {
	places placements
	// uses counts requests, each with the weight it had when it came.
	uses float64
}

// prefixMemory remembers to which back ends this gateway has sent which prefix
// blocks lately, and how popular they are. It is bounded; the least recently used
// block is forgotten first, the end of a prefix before its start.
type prefixMemory struct {
	blocks *simplelru.LRU[uint64, *rememberedBlock]
	// requests counts all requests in the same way as the uses of blocks.
	requests  float64
	weight    risingWeight
	homeShare homeShare
}

func newPrefixMemory(size int) (*prefixMemory, error) {
	blocks, err := simplelru.NewLRU[uint64, *rememberedBlock](size, nil)
	return &prefixMemory{blocks: blocks, weight: 1, homeShare: firstHomeShare}, err
}

// remember notes that the node reads a prompt with these blocks.
func (m *prefixMemory) remember(blocks []uint64, node uint64) {
	if m.weight.rise() {
		m.scaleDown()
	}
	weight := float64(m.weight)
	m.requests += weight
	for i := len(blocks) - 1; i >= 0; i-- {
		known, found := m.blocks.Get(blocks[i])
		if !found {
			known = &rememberedBlock{}
			m.blocks.Add(blocks[i], known)
		}
		if known.places[0] != node {
			known.places = placements{node, known.places[0]}
		}
		known.uses += weight
	}
}

// scaleDown brings all counts back to a weight of 1.
func (m *prefixMemory) scaleDown() {
	m.requests /= float64(m.weight)
	for _, known := range m.blocks.Values() {
		known.uses /= float64(m.weight)
	}
	m.weight = 1
}

// prefixView is what is known about the prefix of one request.
type prefixView struct {
	// home owns the prefix by rendezvous hashing; 0 is none.
	home       uint64
	homeTokens float64
	nodes      [rememberedNodes]uint64
	tokens     [rememberedNodes]float64
	known      int
	// uses of each leading block that is remembered.
	uses       [MaximumPrefixBlocks]float64
	remembered int
}

// view finds the nodes with the longest remembered prefixes.
func (m *prefixMemory) view(request *Request) prefixView {
	var view prefixView
	blocks := request.PrefixBlocks[:min(len(request.PrefixBlocks), MaximumPrefixBlocks)]
	for i, block := range blocks {
		known, found := m.blocks.Get(block)
		if !found {
			break
		}
		view.uses[i] = known.uses
		view.remembered++
		tokens := min(float64((i+1)*tokensPerBlock), float64(request.PromptTokens))
		for _, node := range known.places {
			view.set(node, tokens)
		}
	}
	view.homeTokens = float64(m.homeShare) * min(float64(len(blocks)*tokensPerBlock), float64(request.PromptTokens))
	return view
}

// set notes that a node holds a prefix of this many tokens, longer than any before.
// When there is no room, the node with the shortest prefix makes way.
func (v *prefixView) set(node uint64, tokens float64) {
	if node == 0 {
		return
	}
	place := 0
	for i := range v.known {
		if v.nodes[i] == node {
			v.tokens[i] = tokens
			return
		}
		if v.tokens[i] < v.tokens[place] {
			place = i
		}
	}
	if v.known < rememberedNodes {
		place = v.known
		v.known++
	}
	v.nodes[place], v.tokens[place] = node, tokens
}

// homeKey is the first block that is not too popular to be served by one back end
// alone: a prefix that all prompts of a tenant share says nothing of where to go.
// limit is the largest number of uses of a block that is not too popular.
func (v *prefixView) homeKey(blocks []uint64, limit float64) uint64 {
	for i := range v.remembered {
		if v.uses[i] <= limit {
			return blocks[i]
		}
	}
	return blocks[min(v.remembered, len(blocks)-1)]
}

// chooseHome sets the home among the candidates by rendezvous hashing. Gateways of
// one zone see like traffic and the same subset, and so mostly choose the same home.
func (m *prefixMemory) chooseHome(v *prefixView, blocks []uint64, candidates []*Candidate) {
	v.home = 0
	if len(blocks) == 0 {
		return
	}
	count := float64(len(candidates))
	key := v.homeKey(blocks, (m.requests+popularityPrior*count*float64(m.weight))/(homeFraction*count))
	var greatest uint64
	for _, candidate := range candidates {
		weight := rendezvousWeight(key, candidate.nameHash)
		if v.home == 0 || weight > greatest {
			v.home, greatest = candidate.node, weight
		}
	}
}

// cachedTokens is the number of prompt tokens expected in the candidate's cache, and
// whether they are expected there only because it is the prefix's home.
func (d *Decision) cachedTokens(candidate *Candidate) (tokens float64, asHome bool) {
	view := &d.prefix
	for i := range view.known {
		if view.nodes[i] == candidate.node {
			tokens = view.tokens[i]
		}
	}
	if candidate.node == view.home && view.homeTokens > tokens {
		return view.homeTokens, true
	}
	return tokens, false
}
