package engine

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// loadHistory stores past load reports, so that they can be returned with a lag.
type loadHistory struct {
	samples []loadSample
}

type loadSample struct {
	at     time.Duration
	report enginecontract.LoadReport
}

// loadHistoryLength covers every lag that hazelbench sets, at one sample per housekeepingInterval.
const loadHistoryLength = 100

func (h *loadHistory) sample(now time.Duration, report enginecontract.LoadReport) {
	if count := len(h.samples); count > 0 && now-h.samples[count-1].at < housekeepingInterval {
		return
	}
	if len(h.samples) >= loadHistoryLength {
		h.samples = append(h.samples[:0], h.samples[1:]...)
	}
	h.samples = append(h.samples, loadSample{now, report})
}

// reportAt returns the newest report that is at least lag old, or the oldest one.
func (h *loadHistory) reportAt(now, lag time.Duration) enginecontract.LoadReport {
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

// loadReport returns the current load. The caller holds the mutex.
func (p *process) loadReport() enginecontract.LoadReport {
	load := p.model.Load()
	state := p.machine.State(0)
	return enginecontract.LoadReport{
		Engine: state.Engine, Incarnation: state.Incarnation, State: state.State, Role: state.Role,
		Running: load.Running, Waiting: load.Waiting,
		WaitingPromptTokens: load.WaitingPromptTokens, RunningOutputTokens: load.RunningOutputTokens,
		KVCacheUsed:      load.KVCacheUsed,
		PromptTokensDone: load.PromptTokensDone, OutputTokensDone: load.OutputTokensDone,
	}
}
