package placement

import "time"

// PauseForecast says whether the streams that a decision concerns will keep their gap targets.
type PauseForecast int

// Pause forecasts, from the best to the worst.
const (
	// PauseUnknown means that the speed of the engine or the gap target is not known.
	PauseUnknown PauseForecast = iota
	// PauseKept means that the gap targets are kept, also while the engine is slowed down as much as others at times.
	PauseKept
	// PauseAtRisk means that the stream exceeds its gap target if the engine is slowed down while it runs.
	PauseAtRisk
	// PauseBroken means that the stream, or streams that run at the engine already, exceed their gap targets now.
	PauseBroken
)

// String returns the forecast as a label value.
func (f PauseForecast) String() string {
	return [...]string{"unknown", "kept", "at_risk", "broken"}[min(max(f, PauseUnknown), PauseBroken)]
}

// pausePrediction holds the longest pauses that are expected between the events of streams at a decode engine.
type pausePrediction struct {
	// own is the pause of the new stream now, and atPeak its pause while the engine is slowed down as much as engines of
	// the service are at times.
	own, atPeak time.Duration
	// others is the pause of the streams that run there, while the engine prefills what is queued and the new prompt.
	others time.Duration
}

// predictPauses predicts the pauses at a decode engine that also prefills the given number of tokens for the new stream.
// It returns false if the engine's step time or the request's gap target is not known.
func (p Parameters) predictPauses(request Request, engine Engine, prefillTokens int) (pausePrediction, bool) {
	if engine.StepTime <= 0 || request.Gap <= 0 || request.Stride <= 0 {
		return pausePrediction{}, false
	}
	event := time.Duration(request.Stride) * engine.StepTime
	chunk := time.Duration(p.DecodeChunk*p.DecodeSlowdown) * engine.PerToken
	chunks := (engine.Work.PromptTokens() + prefillTokens + p.DecodeChunk - 1) / p.DecodeChunk
	prefill := time.Duration(min(chunks, request.Stride)) * chunk // each of the event's steps prefills one chunk
	return pausePrediction{
		own:    scale(event, engine.slowdown()),
		atPeak: scale(event, max(engine.PeakSlowdown, engine.slowdown())),
		others: scale(event+prefill, engine.slowdown()),
	}, true
}

// setPauseCost adds the cost of streams that will exceed their gap targets at a decode engine, and sets the forecast. It
// returns false if the pauses cannot be predicted.
func (p Parameters) setPauseCost(request Request, candidate *Candidate, engine Engine, prefillTokens int) (cost time.Duration, predicted bool) {
	pauses, predicted := p.predictPauses(request, engine, prefillTokens)
	if !predicted {
		return 0, false
	}
	candidate.Pause = PauseKept
	switch {
	case pauses.own > request.Gap:
		candidate.Pause = PauseBroken
		cost = p.BrokenPauseCost
	case pauses.atPeak > request.Gap:
		candidate.Pause = PauseAtRisk
		cost = time.Duration(p.PeakPauseRisk * float64(p.BrokenPauseCost))
	}
	if prefillTokens > 0 && engine.Work.Streams > 0 && pauses.others > request.Gap {
		candidate.Pause = PauseBroken
		cost += time.Duration(engine.Work.Streams) * p.BrokenPauseCost
	}
	return cost, true
}

// scale multiplies a duration by a factor.
func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(duration))
}
