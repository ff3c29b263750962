package consensus

import "time"

// progressState is how the leader sends entries to one member.
type progressState int

const (
	// progressProbing sends one message at a time until the last entry that both logs share is found.
	progressProbing progressState = iota
	// progressReplicating sends further entries without waiting for acknowledgements.
	progressReplicating
	// progressSnapshot waits for the acknowledgement of a snapshot.
	progressSnapshot
)

// distantPast is a time before every other time.
const distantPast = time.Duration(-1 << 62)

// progress is the leader's view of one member's log.
type progress struct {
	state progressState
	// match is the last index known to be synced at the member; next is the next index to send.
	match uint64
	next  uint64
	// probeInFlight is true from a message sent in the state progressProbing until the member answers or the next
	// heartbeat round starts.
	probeInFlight bool
	// snapshotIndex and snapshotSentAt describe the snapshot being sent.
	snapshotIndex  uint64
	snapshotSentAt time.Duration
	// ackedRoundAt is the send time of the newest round that the member acknowledged.
	ackedRoundAt time.Duration
	// lastAnswerAt is the arrival time of the member's last answer, or the time of this record while answered is false.
	lastAnswerAt time.Duration
	answered     bool
}

// recordAccepted records that the member accepted an append up to the index.
func (p *progress) recordAccepted(index uint64) {
	if index > p.match {
		p.match = index
	}
	p.next = max(p.next, p.match+1)
	p.probeInFlight = false
	if p.state == progressSnapshot && p.match < p.snapshotIndex {
		return
	}
	p.state = progressReplicating
}

// recordRejected moves next back to the entry after the hint, the log index that the member suggested, and starts probing.
func (p *progress) recordRejected(hint uint64) {
	p.state = progressProbing
	p.probeInFlight = false
	p.next = max(p.match+1, min(p.next-1, hint+1))
}
