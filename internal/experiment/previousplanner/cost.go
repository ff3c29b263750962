package previousplanner

import (
	"math"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// fallbackDrain is the assumed drain time, in seconds, of an engine whose load or demand is
// unknown.
const fallbackDrain = 5.0

// outage estimates for how many seconds an engine does no work during a change: it drains,
// changes its role, and loads weights if the profile requires it.
func outage(engine EngineObservation, load workload, profile EngineProfile) float64 {
	return drainTime(engine, load) + seconds(profile.RoleChange) + seconds(profile.WeightLoad)
}

// drainTime estimates, in seconds, how long an engine's running and waiting requests take to
// finish.
func drainTime(engine EngineObservation, load workload) float64 {
	if engine.Load == nil {
		return fallbackDrain
	}
	if engine.Load.Running == 0 && engine.Load.Waiting == 0 {
		return 0
	}
	rate, work := 0.0, 0.0
	for _, kind := range load {
		rate += kind.arrivals
		work += kind.arrivals * workAt(engine.Role, kind)
	}
	if rate <= 0 {
		return fallbackDrain
	}
	inFlight := float64(engine.Load.Running + engine.Load.Waiting)
	// Requests of a batch finish concurrently: a batch of n takes about n times the
	// engine-seconds of one request, of which half is already done.
	return math.Max(work/rate*inFlight/2, work/rate)
}

// workAt returns the engine-seconds of one request at an engine with a role.
func workAt(role enginecontract.Role, kind kindLoad) float64 {
	switch role {
	case enginecontract.RolePrefill:
		return kind.prefill
	case enginecontract.RoleDecode:
		return kind.decode
	}
	return kind.prefill + kind.decode
}

// cacheLoss estimates the worth lost while the prefix cache of a new prefill engine is cold:
// the engine prefills prompts again that it would have found in a warm cache.
func cacheLoss(to enginecontract.Role, estimates []estimate, load workload, split Split, profile EngineProfile) float64 {
	if to == enginecontract.RoleDecode || profile.CacheWarmup <= 0 || profile.PrefillTokensPerSecond <= 0 {
		return 0
	}
	extra := 0.0
	for _, current := range estimates {
		extra += current.arrivals * current.prompt * current.cached / profile.PrefillTokensPerSecond
	}
	prefillEngines := float64(split.Prefill + split.Mixed + 1)
	engineSeconds := load.prefillEngines() + load.decodeEngines()
	if engineSeconds <= 0 {
		return 0
	}
	worthOfEngineSecond := load.worthRate() / engineSeconds
	return extra / prefillEngines * worthOfEngineSecond * seconds(profile.CacheWarmup) / 2
}
