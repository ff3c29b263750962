package routing

import "github.com/hashicorp/golang-lru/v2/simplelru"

const (
	// placementsPerBlock bounds the back ends remembered for one block.
	placementsPerBlock = 2
	// rememberedNodes bounds the back ends of one prefixView.
	rememberedNodes = 4
	// homeDepth is the number of leading blocks that choose a prompt's home.
	homeDepth = 4
	// tokensPerBlock is the usual number of prompt tokens in one prefix block.
	tokensPerBlock = PrefixBlockBytes / 4
	// homeShare is the part of the prompt expected in the cache of its home when
	// this gateway has not sent it there itself: other gateways of the zone may have.
	homeShare = 0.3
)

// placements are the back ends that got a block last, newest first; 0 is none.
type placements [placementsPerBlock]uint64

// prefixMemory remembers to which back ends this gateway has sent which prefix
// blocks lately. It is bounded; the least recently used block is forgotten first.
type prefixMemory struct {
	blocks *simplelru.LRU[uint64, placements]
}

func newPrefixMemory(size int) (*prefixMemory, error) {
	blocks, err := simplelru.NewLRU[uint64, placements](size, nil)
	return &prefixMemory{blocks: blocks}, err
}

// remember notes that the node has read a prompt with these blocks.
func (m *prefixMemory) remember(blocks []uint64, node uint64) {
	for _, block := range blocks {
		places, _ := m.blocks.Peek(block)
		if places[0] != node {
			places = placements{node, places[0]}
		}
		m.blocks.Add(block, places)
	}
}

// prefixView is what is known about the prefix of one request.
type prefixView struct {
	// home owns the prefix by rendezvous hashing; 0 is none.
	home       uint64
	homeTokens float64
	nodes      [rememberedNodes]uint64
	tokens     [rememberedNodes]float64
	known      int
}

// view finds the nodes with the longest remembered prefixes.
func (m *prefixMemory) view(request *Request) prefixView {
	var view prefixView
	blocks := request.PrefixBlocks
	for i := len(blocks) - 1; i >= 0 && view.known < rememberedNodes; i-- {
		places, found := m.blocks.Get(blocks[i])
		if !found {
			continue
		}
		tokens := min(float64((i+1)*tokensPerBlock), float64(request.PromptTokens))
		for _, node := range places {
			view.add(node, tokens)
		}
	}
	view.homeTokens = homeShare * min(float64(len(blocks)*tokensPerBlock), float64(request.PromptTokens))
	return view
}

func (v *prefixView) add(node uint64, tokens float64) {
	if node == 0 || v.known == rememberedNodes {
		return
	}
	for i := range v.known {
		if v.nodes[i] == node {
			return
		}
	}
	v.nodes[v.known], v.tokens[v.known] = node, tokens
	v.known++
}

// chooseHome sets the home among the candidates by rendezvous hashing.
func (v *prefixView) chooseHome(blocks []uint64, candidates []*Candidate) {
	v.home = 0
	if len(blocks) == 0 {
		return
	}
	key := blocks[min(homeDepth, len(blocks))-1]
	var greatest uint64
	for _, candidate := range candidates {
		weight := rendezvousWeight(key, candidate.nameHash)
		if v.home == 0 || weight > greatest {
			v.home, greatest = candidate.node, weight
		}
	}
}

// cachedTokens is the number of prompt tokens expected in the candidate's cache.
func (d *Decision) cachedTokens(candidate *Candidate) float64 {
	view := &d.prefix
	for i := range view.known {
		if view.nodes[i] == candidate.node {
			return view.tokens[i]
		}
	}
	if candidate.node == view.home {
		return view.homeTokens
	}
	return 0
}
