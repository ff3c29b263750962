package routing

import (
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
)

// Router chooses back ends. See the package comment for its concurrency contract.
type Router struct {
	config     Config
	candidates map[string]*Candidate
	pools      map[poolKey]*pool
	prefixes   *prefixMemory
	readings   map[readingKey]*readingMean
	// signals are what back ends have asked of this gateway; they outlive candidates.
	signals *backpressure.Registry
	// limits are those that back ends have named, or ceased to name, since the leader was told last.
	limits map[uint64]backpressure.Limit
	// kept and scored are scratch space of one decision.
	kept   []*Candidate
	scored []ScoredCandidate
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
	prefixes, err := newPrefixMemory(config.PrefixIndexSize)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Router{
		config:     config,
		candidates: make(map[string]*Candidate),
		pools:      make(map[poolKey]*pool),
		prefixes:   prefixes,
		readings:   make(map[readingKey]*readingMean),
		signals:    backpressure.NewRegistry(),
		limits:     make(map[uint64]backpressure.Limit),
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
			former := candidate.BackEnd
			candidate.update(row)
			if candidate.Incarnation != former.Incarnation {
				candidate.signals = r.signalsOf(candidate.BackEnd)
				r.tellRestarted(former)
			}
		} else {
			candidate = newCandidate(row, r.signalsOf(row))
		}
		candidates[row.Name] = candidate
		r.addToPools(candidate)
	}
	r.candidates = candidates
	r.sortPools()
	r.forgetReadings()
}

// restart forgets what is true of a back end's earlier incarnation only.
func (r *Router) restart(candidate *Candidate, incarnation uint64) {
	former := candidate.BackEnd
	candidate.restart(incarnation)
	candidate.signals = r.signalsOf(candidate.BackEnd)
	r.tellRestarted(former)
}

func (r *Router) tellRestarted(former BackEnd) {
	if r.config.OnRestart != nil {
		r.config.OnRestart(former)
	}
}

// HasRestarted reports whether a later incarnation of a back end is known.
func (r *Router) HasRestarted(backEnd BackEnd) bool {
	candidate, known := r.candidates[backEnd.Name]
	return known && candidate.Incarnation > backEnd.Incarnation
}

// signalsOf returns what an incarnation of a back end has asked of this gateway.
func (r *Router) signalsOf(backEnd BackEnd) *backpressure.Signals {
	return r.signals.SignalsOf(identityOf(backEnd))
}

// identityOf names one incarnation of a back end.
func identityOf(backEnd BackEnd) string {
	return backEnd.Name + "/" + strconv.FormatUint(backEnd.Incarnation, 10)
}

// shortestWait is when the first back end of a service that rests, or whose limit leaves no room, can be sent requests
// again.
func (r *Router) shortestWait(now time.Duration, service string) time.Duration {
	shortest := time.Duration(0)
	for _, candidate := range r.candidates {
		wait := max(candidate.signals.RemainingBackoff(now), candidate.signals.PermitWait(now))
		if candidate.Service == service && wait > 0 && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}
	return shortest
}

// Backoff is how much longer a back end wants nothing from this gateway; 0 when it can be sent requests.
func (r *Router) Backoff(now time.Duration, backEnd BackEnd) time.Duration {
	candidate, known := r.candidates[backEnd.Name]
	if !known || candidate.Incarnation != backEnd.Incarnation {
		return 0
	}
	return candidate.signals.RemainingBackoff(now)
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
	if r.signals.Len() > 2*len(r.candidates)+sparedSignals {
		r.forgetSignals(at)
	}
}

// sparedSignals is how many former incarnations may stay in the ledger of signals before it is looked through,
// which costs time in proportion to the directory.
const sparedSignals = 64

// forgetSignals forgets what incarnations that are gone have asked, as far as it does not hold any more.
func (r *Router) forgetSignals(now time.Duration) {
	listed := make(map[string]bool, len(r.candidates))
	for _, candidate := range r.candidates {
		listed[identityOf(candidate.BackEnd)] = true
	}
	r.signals.RemoveUnlisted(now, func(identity string) bool { return listed[identity] })
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
