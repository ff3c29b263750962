package routing

import (
	"time"

	"github.com/gravitational/trace"
)

// Router chooses back ends. See the package comment for its concurrency contract.
type Router struct {
	config     Config
	candidates map[string]*Candidate
	pools      map[poolKey]*pool
	prefixes   *prefixMemory
	readings   map[readingKey]*readingMean
	// kept and scored are scratch space of one decision.
	kept   []*Candidate
	scored []Scored
}

// New returns a Router with an empty directory.
func New(config Config) (*Router, error) {
	if err := config.checkAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	if config.Filters == nil {
		config.Filters = StandardFilters()
	}
	if config.Scorers == nil {
		config.Scorers = StandardScorers()
	}
	if config.Picker == nil {
		config.Picker = NewWeightedSample(config.Seed, config.SampleSize)
	}
	prefixes, err := newPrefixMemory(config.PrefixMemory)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Router{
		config:     config,
		candidates: make(map[string]*Candidate),
		pools:      make(map[poolKey]*pool),
		prefixes:   prefixes,
		readings:   make(map[readingKey]*readingMean),
	}, nil
}

// SetBackEnds replaces the directory. Back ends that are still in it keep what the
// gateway has learned about them. It costs time in proportion to the directory and
// is meant to be called when the directory has changed.
func (r *Router) SetBackEnds(backEnds []BackEnd) {
	candidates := make(map[string]*Candidate, len(backEnds))
	r.pools = make(map[poolKey]*pool)
	for _, row := range backEnds {
		if _, doubled := candidates[row.Name]; doubled {
			continue
		}
		candidate, known := r.candidates[row.Name]
		if known {
			candidate.update(row)
		} else {
			candidate = newCandidate(row)
		}
		candidates[row.Name] = candidate
		r.addToPools(candidate)
	}
	r.candidates = candidates
	r.sortPools()
	r.forgetReadings()
}

func (r *Router) sortPools() {
	for _, pool := range r.pools {
		pool.sortMembers(r)
	}
}

func (r *Router) addToPools(candidate *Candidate) {
	candidate.reading = r.reading(candidate)
	for _, key := range poolKeys(&candidate.BackEnd) {
		if r.pools[key] == nil {
			r.pools[key] = &pool{}
		}
		r.pools[key].members = append(r.pools[key].members, candidate)
	}
}

// Confirm tells that a fresh source still says what the directory says: the state
// of every back end in it held at the given time, except where it says nothing.
func (r *Router) Confirm(at time.Duration) {
	for _, candidate := range r.candidates {
		if !candidate.Unconfirmed {
			candidate.confirm(at)
		}
	}
}

func (r *Router) zoneLatency(zone string) time.Duration {
	if zone == r.config.Zone {
		return 0
	}
	if latency, known := r.config.ZoneLatency[zone]; known {
		return latency
	}
	return r.config.OtherZoneLatency
}
