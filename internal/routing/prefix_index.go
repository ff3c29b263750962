package routing

import "github.com/hashicorp/golang-lru/v2/simplelru"

const (
	// placementsPerBlock bounds the back ends stored per block.
	placementsPerBlock = 2
	// maxViewNodes bounds the back ends of one prefixMatch.
	maxViewNodes = 4
	// tokensPerBlock is the usual number of prompt tokens in one prefix block.
	tokensPerBlock = PrefixBlockBytes / 4
)

// recentNodes are the back ends that received a block last, newest first; 0 means none.
type recentNodes [placementsPerBlock]uint64

// indexedBlock is the index entry of one prefix block.
type indexedBlock struct {
	nodes recentNodes
	// uses counts requests, each with its weight at the time.
	uses float64
}

// prefixIndex records to which back ends this gateway has recently sent which prefix blocks, and how popular the
// blocks are. Its size is bounded; it evicts the least recently used block, the end of a prefix before its start.
type prefixIndex struct {
	blocks *simplelru.LRU[uint64, *indexedBlock]
	// requests counts all requests with the same weights as the uses of blocks.
	requests    float64
	weight      risingWeight
	homeHitRate homeHitRate
}

func newPrefixIndex(size int) (*prefixIndex, error) {
	blocks, err := simplelru.NewLRU[uint64, *indexedBlock](size, nil)
	return &prefixIndex{blocks: blocks, weight: 1, homeHitRate: initialHomeHitRate}, err
}

// record records that a prompt with these blocks is sent to the node.
func (m *prefixIndex) record(blocks []uint64, node uint64) {
	if m.weight.advance() {
		m.rescale()
	}
	weight := float64(m.weight)
	m.requests += weight
	for i := len(blocks) - 1; i >= 0; i-- {
		block, exists := m.blocks.Get(blocks[i])
		if !exists {
			block = &indexedBlock{}
			m.blocks.Add(blocks[i], block)
		}
		if block.nodes[0] != node {
			block.nodes = recentNodes{node, block.nodes[0]}
		}
		block.uses += weight
	}
}

// rescale divides all counts so that the current weight becomes 1.
func (m *prefixIndex) rescale() {
	m.requests /= float64(m.weight)
	for _, block := range m.blocks.Values() {
		block.uses /= float64(m.weight)
	}
	m.weight = 1
}

// prefixMatch is the result of looking up the prefix of one request.
type prefixMatch struct {
	// home is the node to which rendezvous hashing assigns the prefix; 0 means none.
	home       uint64
	homeTokens float64
	nodes      [maxViewNodes]uint64
	tokens     [maxViewNodes]float64
	nodeCount  int
	// uses are the counts of the leading blocks that are in the index.
	uses       [MaxPrefixBlocks]float64
	blockCount int
}

// match returns the nodes with the longest matching prefixes.
func (m *prefixIndex) match(request *Request) prefixMatch {
	var match prefixMatch
	blocks := request.PrefixBlocks[:min(len(request.PrefixBlocks), MaxPrefixBlocks)]
	for i, block := range blocks {
		entry, exists := m.blocks.Get(block)
		if !exists {
			break
		}
		match.uses[i] = entry.uses
		match.blockCount++
		tokens := min(float64((i+1)*tokensPerBlock), float64(request.PromptTokens))
		for _, node := range entry.nodes {
			match.setNode(node, tokens)
		}
	}
	match.homeTokens = float64(m.homeHitRate) * min(float64(len(blocks)*tokensPerBlock), float64(request.PromptTokens))
	return match
}

// setNode records that a node has a prefix of this many tokens, which is no shorter than those recorded before. If there
// is no room, it replaces the node with the shortest prefix.
func (m *prefixMatch) setNode(node uint64, tokens float64) {
	if node == 0 {
		return
	}
	slot := 0
	for i := range m.nodeCount {
		if m.nodes[i] == node {
			m.tokens[i] = tokens
			return
		}
		if m.tokens[i] < m.tokens[slot] {
			slot = i
		}
	}
	if m.nodeCount < maxViewNodes {
		slot = m.nodeCount
		m.nodeCount++
	}
	m.nodes[slot], m.tokens[slot] = node, tokens
}

// homeKey returns the block that determines the home: the first one with at most limit uses, else the first one that is
// not in the index, else the last one. A more popular block should not be served by one back end alone: a prefix that
// all prompts of a tenant share does not determine a back end.
func (m *prefixMatch) homeKey(blocks []uint64, limit float64) uint64 {
	for i := range m.blockCount {
		if m.uses[i] <= limit {
			return blocks[i]
		}
	}
	return blocks[min(m.blockCount, len(blocks)-1)]
}

// chooseHome sets the home among the candidates by rendezvous hashing. Gateways of one zone have similar traffic
// and the same subset, and therefore mostly choose the same home.
func (m *prefixIndex) chooseHome(match *prefixMatch, blocks []uint64, candidates []*Candidate) {
	match.home = 0
	if len(blocks) == 0 {
		return
	}
	count := float64(len(candidates))
	key := match.homeKey(blocks, (m.requests+popularityPrior*count*float64(m.weight))/(popularFraction*count))
	var maxNodeWeight uint64
	for _, candidate := range candidates {
		weight := rendezvousWeight(key, candidate.nameHash)
		if match.home == 0 || weight > maxNodeWeight {
			match.home, maxNodeWeight = candidate.cacheNode, weight
		}
	}
}

// cachedTokens returns the number of prompt tokens expected in the candidate's cache, and whether they are expected
// there only because it is the home of the prefix.
func (d *Decision) cachedTokens(candidate *Candidate) (tokens float64, atHome bool) {
	match := &d.prefix
	for i := range match.nodeCount {
		if match.nodes[i] == candidate.cacheNode {
			tokens = match.tokens[i]
		}
	}
	if candidate.cacheNode == match.home && match.homeTokens > tokens {
		return match.homeTokens, true
	}
	return tokens, false
}
