package quarantine

import "slices"

// MaximumParts limits the parts of prompts in the ledger, so that they leave room for requests.
const MaximumParts = 512

// MakeRoomForParts returns which of the reported parts the leader may add to the ledger, and which entries it must remove before:
// suspected parts, those with fewer crashes and the older ones first.
func (l *Ledger) MakeRoomForParts(reported []Signature) (admitted, removed []Signature) {
	var removable []*Suspect
	count := 0
	for _, suspect := range l.suspects {
		if !suspect.Signature.IsPart() {
			continue
		}
		count++
		if !suspect.IsQuarantined() && !slices.Contains(reported, suspect.Signature) {
			removable = append(removable, suspect)
		}
	}
	slices.SortStableFunc(removable, func(a, b *Suspect) int { return len(a.Replicas) - len(b.Replicas) })
	for _, part := range reported {
		switch {
		case l.bySignature[part] != nil:
		case count < MaximumParts:
			count++
		case len(removable) > 0:
			removed = append(removed, removable[0].Signature)
			removable = removable[1:]
		default:
			continue
		}
		admitted = append(admitted, part)
	}
	return admitted, removed
}
