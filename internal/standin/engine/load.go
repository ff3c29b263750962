package engine

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// loadHistory keeps load reports so that an old one can be told.
type loadHistory struct {
	samples []loadSample
}

type loadSample struct {
	at     time.Duration
	report enginecontract.LoadReport
}

// loadHistoryLength covers every lag the bench sets, at one sample per housekeeping.
const loadHistoryLength = 100

func (h *loadHistory) sample(now time.Duration, report enginecontract.LoadReport) {
	if count := len(h.samples); count > 0 && now-h.samples[count-1].at < housekeeping {
		return
	}
	if len(h.samples) >= loadHistoryLength {
		h.samples = append(h.samples[:0], h.samples[1:]...)
	}
	h.samples = append(h.samples, loadSample{now, report})
}

// lagging returns the newest report that is at least lag old, or the oldest there is.
func (h *loadHistory) lagging(now, lag time.Duration) enginecontract.LoadReport {
	for index := len(h.samples) - 1; index > 0; index-- {
		if now-h.samples[index].at >= lag {
			return h.samples[index].aged(now)
		}
	}
	return h.samples[0].aged(now)
}

func (s loadSample) aged(now time.Duration) enginecontract.LoadReport {
	report := s.report
	report.AgeMs = (now - s.at).Milliseconds()
	return report
}

// loadReport is the load as it is now. The mutex is held.
func (l *life) loadReport() enginecontract.LoadReport {
	load := l.model.Load()
	state := l.machine.State(0)
	return enginecontract.LoadReport{
		Engine: state.Engine, Incarnation: state.Incarnation, State: state.State, Role: state.Role,
		Running: load.Running, Waiting: load.Waiting,
		WaitingPromptTokens: load.WaitingPromptTokens, RunningOutputTokens: load.RunningOutputTokens,
		KVCacheUsed:      load.KVCacheUsed,
		PromptTokensDone: load.PromptTokensDone, OutputTokensDone: load.OutputTokensDone,
	}
}
