package crashguard

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

const (
	// maximumParts limits the parts of prompts of which sound runs or crashes at this node are remembered.
	maximumParts = 8192
	// soundRunRetention is how long a sound run with a part is remembered.
	soundRunRetention = 10 * time.Minute
	// sharedTrialDelay is how long a trial must have been due before a request with several quarantined parts may be one: a
	// request with one of them alone says more, and can release it.
	sharedTrialDelay = 2 * time.Second
)

// suspectParts is what a node knows of parts of prompts under which back ends have crashed. Its methods require the guard's mutex.
type suspectParts struct {
	// listed are the suspected and the quarantined parts that the controllers list.
	listed map[quarantine.Signature]*listedPart
	// isUntold is true while the controllers do not tell which parts are suspect, because the leader's version does not support it;
	// since untoldSince.
	isUntold    bool
	untoldSince time.Duration
	// soundAt is the time of the last sound run with a part.
	soundAt *boundedMap[time.Duration]
	// crashes are the hashes of the back ends that this node saw crash since the last sound run, by part.
	crashes *boundedMap[*partCrashes]
	// soundRuns counts the sound runs of requests with parts since they were last reported.
	soundRuns uint32
}

// listedPart is a part that the controllers list.
type listedPart struct {
	isQuarantined bool
	isTrialDue    bool
	// trialAt is when the next trial is due.
	trialAt time.Duration
}

// partCrashes are the crashes that this node saw under a part.
type partCrashes struct {
	replicas map[uint64]bool
	// wasSound is true if a request with the part ran soundly at this node before.
	wasSound bool
	lastAt   time.Duration
}

func newSuspectParts() suspectParts {
	return suspectParts{
		listed: map[quarantine.Signature]*listedPart{}, soundAt: newBoundedMap[time.Duration](maximumParts),
		crashes: newBoundedMap[*partCrashes](maximumParts),
	}
}

// isTrialDue reports whether the controllers would grant a trial of a part. isShared is true if the request would be a trial of
// other content, too.
func (p *suspectParts) isTrialDue(now time.Duration, part quarantine.Signature, isShared bool) bool {
	listed := p.listed[part]
	if listed == nil || !listed.isTrialDue {
		return false
	}
	return !isShared || now-listed.trialAt >= sharedTrialDelay
}

// takeTrial records that a trial of a part is requested.
func (p *suspectParts) takeTrial(part quarantine.Signature) { p.listed[part].isTrialDue = false }

// recordSoundRun records that a request with the given parts ran soundly. It returns the parts that the leader must release.
func (p *suspectParts) recordSoundRun(now time.Duration, parts []quarantine.Signature) (released []quarantine.Signature) {
	if len(parts) > 0 {
		p.soundRuns++
	}
	for _, part := range parts {
		p.soundAt.set(part, now)
		p.crashes.remove(part)
		if p.listed[part] != nil {
			delete(p.listed, part)
			released = append(released, part)
		}
	}
	return released
}

// wasSound reports whether a request with the part ran soundly here within soundRunRetention.
func (p *suspectParts) wasSound(now time.Duration, part quarantine.Signature) bool {
	at, known := p.soundAt.get(part)
	return known && now-at < soundRunRetention
}

// recordCrash records that this node saw a back end crash under a part.
func (p *suspectParts) recordCrash(now time.Duration, part quarantine.Signature, replica uint64) {
	crashes, known := p.crashes.get(part)
	if !known {
		crashes = &partCrashes{replicas: map[uint64]bool{}, wasSound: p.wasSound(now, part)}
		p.crashes.set(part, crashes)
	}
	crashes.replicas[replica] = true
	crashes.lastAt = now
}

// isLocallySuspected reports whether enough back ends have crashed under a part, as this node saw it, to keep it away while the
// leader does not answer.
func (p *suspectParts) isLocallySuspected(now time.Duration, part quarantine.Signature) bool {
	crashes, known := p.crashes.get(part)
	if !known || now-crashes.lastAt >= localQuarantineTime {
		return false
	}
	threshold := quarantine.PartThreshold
	if crashes.wasSound {
		threshold = quarantine.SoundPartThreshold
	}
	return len(crashes.replicas) >= threshold
}

// isListedQuarantined reports whether the controllers list a part as quarantined.
func (p *suspectParts) isListedQuarantined(now time.Duration, part quarantine.Signature) bool {
	listed := p.listed[part]
	isOutdated := p.isUntold && now-p.untoldSince >= localQuarantineTime
	return listed != nil && listed.isQuarantined && !isOutdated
}

// apply replaces the list by one that the controllers sent. It returns the parts that are quarantined anew.
func (p *suspectParts) apply(now time.Duration, parts []*v1.SuspectPart) (quarantined []quarantine.Signature) {
	updated := make(map[quarantine.Signature]*listedPart, len(parts))
	for _, part := range parts {
		signature, valid := quarantine.SignatureFromBytes(part.GetSignature())
		if !valid || !signature.IsPart() {
			continue
		}
		entry := &listedPart{
			isQuarantined: part.GetQuarantined(), isTrialDue: part.GetTrialDue(),
			trialAt: now + time.Duration(part.GetTrialInMs())*time.Millisecond,
		}
		former := p.listed[signature]
		if former != nil && former.isTrialDue && entry.isTrialDue {
			entry.trialAt = former.trialAt
		}
		if entry.isQuarantined && (former == nil || !former.isQuarantined) {
			quarantined = append(quarantined, signature)
		}
		updated[signature] = entry
	}
	p.listed = updated
	return quarantined
}

// trialIn returns the time until the next trial of a quarantined part; 0 if it is unknown or one is due.
func (p *suspectParts) trialIn(now time.Duration, part quarantine.Signature) time.Duration {
	listed := p.listed[part]
	if listed == nil || !listed.isQuarantined {
		return 0
	}
	return max(listed.trialAt-now, 0)
}

// takeSoundRuns returns what this node reports of sound runs: their number since the last call, and when the listed parts had the
// last one.
func (p *suspectParts) takeSoundRuns(now time.Duration) *v1.SoundRuns {
	if p.soundRuns == 0 && len(p.listed) == 0 {
		return nil
	}
	runs := &v1.SoundRuns{Count: p.soundRuns}
	p.soundRuns = 0
	for part := range p.listed {
		if p.wasSound(now, part) {
			at, _ := p.soundAt.get(part)
			runs.Parts = append(runs.Parts, &v1.SoundPart{Signature: part[:], AgoMs: uint32((now - at).Milliseconds())})
		}
	}
	return runs
}
