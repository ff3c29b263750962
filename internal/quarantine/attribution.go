package quarantine

// attribution counts the crashes under suspected parts. A crash under a quarantined part is explained by it, and does not count
// against the other parts of the requests that ran on the replica.
type attribution struct{ explained map[uint64]bool }

// newAttribution returns the attribution for the crashes in a ledger.
func newAttribution(ledger *Ledger) attribution {
	explained := map[uint64]bool{}
	for _, suspect := range ledger.Suspects() {
		if !suspect.Signature.IsPart() || !suspect.IsQuarantined() {
			continue
		}
		for _, replica := range suspect.Replicas {
			explained[replica] = true
		}
	}
	return attribution{explained: explained}
}

// crashes returns the number of crashes under a part that no quarantined part explains.
func (b attribution) crashes(suspect *Suspect) int {
	count := 0
	for _, replica := range suspect.Replicas {
		if !b.explained[replica] {
			count++
		}
	}
	return count
}

// SuspectedPartThreshold is the number of replicas that must crash under a part before nodes are asked for sound runs with it.
const SuspectedPartThreshold = 2

// SuspectParts returns the parts that are quarantined, and those that are suspected: enough replicas have crashed under them,
// and no quarantined part explains these crashes. They are in the order of the ledger.
func (l *Ledger) SuspectParts() []*Suspect {
	var parts []*Suspect
	attribution := newAttribution(l)
	for _, suspect := range l.suspects {
		if suspect.Signature.IsPart() && (suspect.IsQuarantined() || attribution.crashes(suspect) >= SuspectedPartThreshold) {
			parts = append(parts, suspect)
		}
	}
	return parts
}
