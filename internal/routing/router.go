package routing

import (
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
)

// Router chooses back ends. See the package comment for its concurrency contract.
type Router struct {
	config       Config
	candidates   map[string]*Candidate
	pools        map[poolKey]*pool
	prefixIndex  *prefixIndex
	prefillMeans map[prefillKey]*prefillMean
	// signals are the backoff, limits and leaving states that back ends have signalled; they outlive candidates.
	signals *backpressure.Registry
	// unreportedLimits are limits that back ends have set or lifted and that the leader has not received yet.
	unreportedLimits map[uint64]backpressure.Limit
	// filtered and scored are scratch space of one decision.
	filtered []*Candidate
	scored   []ScoredCandidate
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
	prefixes, err := newPrefixIndex(config.PrefixIndexSize)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Router{
		config:           config,
		candidates:       make(map[string]*Candidate),
		pools:            make(map[poolKey]*pool),
		prefixIndex:      prefixes,
		prefillMeans:     make(map[prefillKey]*prefillMean),
		signals:          backpressure.NewRegistry(),
		unreportedLimits: make(map[uint64]backpressure.Limit),
	}, nil
}

// SetBackEnds replaces the directory. Observations of back ends that remain in it are kept. The cost is proportional
// to the size of the directory, so call it only when the directory has changed.
func (r *Router) SetBackEnds(backEnds []BackEnd) {
	candidates := make(map[string]*Candidate, len(backEnds))
	r.pools = make(map[poolKey]*pool)
	for _, row := range backEnds {
		if _, duplicate := candidates[row.Name]; duplicate {
			continue
		}
		candidate, known := r.candidates[row.Name]
		if known {
			previous := candidate.BackEnd
			candidate.update(row)
			if candidate.Incarnation != previous.Incarnation {
				candidate.signals = r.signalsOf(candidate.BackEnd)
				r.notifyRestart(previous)
			}
		} else {
			candidate = newCandidate(row, r.signalsOf(row))
		}
		candidates[row.Name] = candidate
		r.addToPools(candidate)
	}
	r.candidates = candidates
	r.sortPools()
	r.dropPrefillMeans()
}

// restart discards the state of a back end's previous incarnation.
func (r *Router) restart(candidate *Candidate, incarnation uint64) {
	previous := candidate.BackEnd
	candidate.restart(incarnation)
	candidate.signals = r.signalsOf(candidate.BackEnd)
	r.notifyRestart(previous)
}

func (r *Router) notifyRestart(previous BackEnd) {
	if r.config.OnRestart != nil {
		r.config.OnRestart(previous)
	}
}

// HasRestarted reports whether a later incarnation of a back end is known.
func (r *Router) HasRestarted(backEnd BackEnd) bool {
	candidate, known := r.candidates[backEnd.Name]
	return known && candidate.Incarnation > backEnd.Incarnation
}

// signalsOf returns what an incarnation of a back end has signalled to this gateway.
func (r *Router) signalsOf(backEnd BackEnd) *backpressure.Signals {
	return r.signals.SignalsOf(incarnationID(backEnd))
}

// incarnationID identifies one incarnation of a back end.
func incarnationID(backEnd BackEnd) string {
	return backEnd.Name + "/" + strconv.FormatUint(backEnd.Incarnation, 10)
}

// shortestWait returns the time until the first of a service's back ends that are in backoff, or whose limit leaves no
// room, can get requests again; 0 if there is no such back end.
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

// Backoff returns the remaining backoff of a back end; 0 if it is not in backoff or this incarnation is unknown.
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
	candidate.prefillMean = r.prefillMeanOf(candidate)
	for _, key := range poolKeys(&candidate.BackEnd) {
		if r.pools[key] == nil {
			r.pools[key] = &pool{}
		}
		r.pools[key].members = append(r.pools[key].members, candidate)
	}
}

// Confirm records that the source of the directory was up to date and unchanged at the given time, so that the state of
// every back end in it held then, except for unknown states.
func (r *Router) Confirm(at time.Duration) {
	for _, candidate := range r.candidates {
		if !candidate.Unconfirmed {
			candidate.confirm(at)
		}
	}
	if r.signals.Len() > 2*len(r.candidates)+spareSignals {
		r.dropSignals(at)
	}
}

// spareSignals is how many incarnations, beyond twice the number of back ends, may have stored signals before
// dropSignals is called, the cost of which is proportional to the directory.
const spareSignals = 64

// dropSignals drops the expired signals of incarnations that have left the directory.
func (r *Router) dropSignals(now time.Duration) {
	listed := make(map[string]bool, len(r.candidates))
	for _, candidate := range r.candidates {
		listed[incarnationID(candidate.BackEnd)] = true
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
