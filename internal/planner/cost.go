package planner

// Bounds of the assumed drain time, in seconds.
const (
	shortestDrain = 0.5
	longestDrain  = 15.0
)

// outage estimates for how many seconds an engine is out of its old role before it
// works in the new one: it drains, loads weights if it must, and changes.
func outage(observation Observation, demands []KindDemand) float64 {
	return drainTime(observation.Profile, demands) + seconds(observation.Profile.RoleChange) + seconds(observation.Profile.WeightLoad)
}

// drainTime estimates how long an engine's own work takes to finish: the output of a
// typical request, in a batch of half the largest size.
func drainTime(profile EngineProfile, demands []KindDemand) float64 {
	rate, output, context := 0.0, 0.0, 0.0
	for _, demand := range demands {
		rate += demand.ArrivalsPerSecond
		output += demand.ArrivalsPerSecond * demand.OutputTokens
		context += demand.ArrivalsPerSecond * demand.ContextTokens
	}
	if rate <= 0 {
		return shortestDrain
	}
	batch := float64(profile.MaxBatch) / 2
	step := seconds(profile.StepBase) + batch*(seconds(profile.StepPerSequence)+context/rate*seconds(profile.StepPerContextToken))
	return min(max(output/rate*step, shortestDrain), longestDrain)
}
