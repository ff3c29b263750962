package control

import (
	"maps"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// engineSpeedTTL is how long a report of an engine's speed is valid. It spans a change of the relay that reports it.
const engineSpeedTTL = 10 * time.Second

// engineSpeed is the last report on the speed of an engine.
type engineSpeed struct {
	receivedAt time.Duration
	// missesGap and keepsGap tell whether the engine would break or keep the gap targets as a decode engine. Both are false
	// if its speed is unknown.
	missesGap, keepsGap bool
	// stepTime is the usual time of a decode step; 0 if unknown.
	stepTime time.Duration
}

// engineSpeeds are the engine speeds that relays have reported to this leader, of listed engines only.
type engineSpeeds struct {
	// byEngine are the reports by the hash of the engine's identity.
	byEngine map[uint64]engineSpeed
	// listed are the hashes of the listed engines; nil when they must be read from the list again.
	listed map[uint64]bool
}

func newEngineSpeeds() engineSpeeds { return engineSpeeds{byEngine: map[uint64]engineSpeed{}} }

// record records a relay's report.
func (s *engineSpeeds) record(now time.Duration, reported []*v1.EngineSpeed, published []*v1.ListedBackEnd) {
	if len(reported) == 0 {
		return
	}
	s.readListed(published)
	for _, speed := range reported {
		if s.listed[speed.GetEngine()] {
			isKnown := speed.GetStepNs() > 0 || speed.GetTokenNs() > 0
			s.byEngine[speed.GetEngine()] = engineSpeed{
				receivedAt: now, missesGap: speed.GetMissesGap(), keepsGap: isKnown && !speed.GetMissesGap(),
				stepTime: time.Duration(speed.GetStepNs()),
			}
		}
	}
}

// readListed reads the engines of the published list if it has changed.
func (s *engineSpeeds) readListed(published []*v1.ListedBackEnd) {
	if s.listed != nil {
		return
	}
	s.listed = make(map[uint64]bool, len(published))
	for _, backEnd := range published {
		if _, isEngine := stageOf(backEnd.GetRole()); isEngine {
			s.listed[memberOf(backEnd).Hash] = true
		}
	}
}

// dropOutdated drops reports that are older than engineSpeedTTL, and those of engines that are no longer listed.
func (s *engineSpeeds) dropOutdated(now time.Duration, published []*v1.ListedBackEnd) {
	if len(s.byEngine) == 0 {
		return
	}
	s.readListed(published)
	maps.DeleteFunc(s.byEngine, func(engine uint64, speed engineSpeed) bool {
		return !s.listed[engine] || now-speed.receivedAt > engineSpeedTTL
	})
}

// countMissingGap returns the number of engines that are reported to miss the gap.
func (s *engineSpeeds) countMissingGap() int {
	count := 0
	for _, speed := range s.byEngine {
		if speed.missesGap {
			count++
		}
	}
	return count
}
