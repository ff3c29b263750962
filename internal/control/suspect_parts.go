package control

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

// admitPartCrashes returns the reported crashes under parts of prompts that the ledger has room for, and removes suspected parts
// from the ledger that must give way to them.
func (c *Core) admitPartCrashes(crashes []*v1.ReplicaEnd) []*v1.ReplicaEnd {
	var reported []quarantine.Signature
	byPart := map[quarantine.Signature][]*v1.ReplicaEnd{}
	for _, crash := range crashes[:min(len(crashes), maximumCrashesPerReport)] {
		part, valid := quarantine.SignatureFromBytes(crash.GetSignature())
		if !valid || !part.IsPart() {
			continue
		}
		if byPart[part] == nil {
			reported = append(reported, part)
		}
		byPart[part] = append(byPart[part], crash)
	}
	admitted, removed := c.suspects().MakeRoomForParts(reported)
	c.releaseSuspects(removed)
	var ends []*v1.ReplicaEnd
	for _, part := range admitted {
		ends = append(ends, byPart[part]...)
	}
	return ends
}

// releaseSuspects removes entries from the ledger; no call waits for it.
func (c *Core) releaseSuspects(signatures []quarantine.Signature) {
	if len(signatures) == 0 {
		return
	}
	var bytes [][]byte
	for _, signature := range signatures {
		bytes = append(bytes, signature[:])
	}
	c.applySuspectChangeWithoutCall(releaseCommand(bytes...))
}

// recordSoundRuns records what a node reports of requests that ran soundly. Suspect parts that are cleared by it are removed
// from the ledger.
func (c *Core) recordSoundRuns(runs *v1.SoundRuns) {
	c.quarantine.evaluator.RecordSoundRuns(runs.GetCount())
	var cleared []quarantine.Signature
	for _, sound := range runs.GetParts() {
		part, _ := quarantine.SignatureFromBytes(sound.GetSignature())
		isSuspect := c.suspects().Suspect(part) != nil // other nodes may have cleared it
		if isSuspect && c.quarantine.evaluator.RecordSoundPart(c.now, part, time.Duration(sound.GetAgoMs())*time.Millisecond) {
			cleared = append(cleared, part)
		}
	}
	c.releaseSuspects(cleared)
}

// quarantineConfirmedParts quarantines the parts that are confirmed. The decision is the first trial of a part in the log, so
// that every controller and later leaders know of it.
func (c *Core) quarantineConfirmedParts(ledger *quarantine.Ledger) {
	confirmed := c.quarantine.evaluator.Observe(c.now, ledger)
	if c.formats.suspectsIndex > c.applied {
		return // commands that may change the ledger are not applied yet
	}
	for _, part := range confirmed {
		grant := &v1.GrantTrial{Signature: part[:]}
		c.applySuspectChangeWithoutCall(&v1.Command{Body: &v1.Command_GrantTrial{GrantTrial: grant}})
	}
}

// suspectParts returns the suspected and the quarantined parts as sent to nodes.
func (q *requestQuarantine) suspectParts(core *Core, ledger *quarantine.Ledger) []*v1.SuspectPart {
	var parts []*v1.SuspectPart
	for _, suspect := range ledger.SuspectParts() {
		part := &v1.SuspectPart{Signature: suspect.Signature[:], Quarantined: suspect.IsQuarantined()}
		if wait, known := q.trials.WaitForTrial(core.now, suspect); known && core.leading {
			part.TrialDue, part.TrialInMs = wait == 0, milliseconds(wait)
		}
		parts = append(parts, part)
	}
	return parts
}

// partState returns what nodes must learn at once of a suspect part when it changes.
func partState(part *v1.SuspectPart) byte {
	switch {
	case part.GetTrialDue():
		return 2
	case part.GetQuarantined():
		return 1
	default:
		return 0
	}
}
