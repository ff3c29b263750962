package consensus

import "time"

// progressState tells how the leader sends entries to one member.
type progressState int

const (
	// progressProbing sends one message at a time until the last common entry is found.
	progressProbing progressState = iota
	// progressReplicating sends ahead of the answers.
	progressReplicating
	// progressSnapshot waits for the answer to a snapshot.
	progressSnapshot
)

// never is a time before every other.
const never = time.Duration(-1 << 62)

// progress is what the leader knows about one member's log.
type progress struct {
	state progressState
	// match is the last index known to be synced at the member; next the next to send.
	match uint64
	next  uint64
	// probeSent tells that a probe waits for its answer.
	probeSent bool
	// snapshotIndex and snapshotSentAt describe the snapshot under way.
	snapshotIndex  uint64
	snapshotSentAt time.Duration
	// ackedAt is the sending time of the newest round that the member answered.
	ackedAt time.Duration
	// heardAt is the time of the member's last answer.
	heardAt time.Duration
}

// answered takes an accepted append into account.
func (p *progress) answered(index uint64) {
	if index > p.match {
		p.match = index
	}
	p.next = max(p.next, p.match+1)
	p.probeSent = false
	if p.state == progressSnapshot && p.match < p.snapshotIndex {
		return
	}
	p.state = progressReplicating
}

// rejected goes back to the hinted position.
func (p *progress) rejected(hint uint64) {
	p.state = progressProbing
	p.probeSent = false
	p.next = max(p.match+1, min(p.next-1, hint+1))
}
