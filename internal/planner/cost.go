package planner

// Bounds of the assumed drain time, in seconds.
const (
	minDrainSeconds = 0.5
	maxDrainSeconds = 15.0
)

// estimateOutage estimates for how many seconds an engine is unavailable between its old and its new role: it
// drains, loads weights if needed, and changes its role.
func estimateOutage(observation Observation, demands []KindDemand) float64 {
	return estimateDrain(observation.Profile, demands) + seconds(observation.Profile.RoleChange) + seconds(observation.Profile.WeightLoad)
}

// estimateDrain estimates in seconds how long an engine takes to finish its requests: the decode time of an average
// request in a batch of half the largest size.
func estimateDrain(profile EngineProfile, demands []KindDemand) float64 {
	rate, output, context := 0.0, 0.0, 0.0
	for _, demand := range demands {
		rate += demand.ArrivalsPerSecond
		output += demand.ArrivalsPerSecond * demand.OutputTokens
		context += demand.ArrivalsPerSecond * demand.ContextTokens
	}
	if rate <= 0 {
		return minDrainSeconds
	}
	batch := float64(profile.MaxBatch) / 2
	step := seconds(profile.StepBase) + batch*(seconds(profile.StepPerSequence)+context/rate*seconds(profile.StepPerContextToken))
	return min(max(output/rate*step, minDrainSeconds), maxDrainSeconds)
}
