package consensus

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// VoteAnswer is a voter's answer to a candidate.
type VoteAnswer string

// Answers of a voter.
const (
	// VoteSilent means that no answer has arrived.
	VoteSilent VoteAnswer = "silent"
	// VoteGranted means that the voter votes, or would vote, for the candidate.
	VoteGranted VoteAnswer = "granted"
	// VoteRefusedForLog means that the voter's log has entries that the candidate's log lacks.
	VoteRefusedForLog VoteAnswer = "refused: its log is ahead"
	// VoteRefusedForTerm means that the voter's term is above the candidate's.
	VoteRefusedForTerm VoteAnswer = "refused: its term is ahead"
	// VoteRefusedForLeader means that, as far as the voter knows, a leader leads or may still hold a lease, or that it has
	// voted for another candidate of the term.
	VoteRefusedForLeader VoteAnswer = "refused: another leader or candidate"
)

// VoterAnswer is the answer of one voter.
type VoterAnswer struct {
	MemberID string
	Name     string
	Answer   VoteAnswer
}

// Election describes the last election in which a member was a candidate, for logs.
type Election struct {
	// Term is the term for which votes are requested. With PreVote, voters were only asked whether they would vote.
	Term    uint64
	PreVote bool
	// Age is the time since the votes were requested.
	Age time.Duration
	// Attempts is the number of elections and pre-votes since the member last followed or was a leader.
	Attempts int
	// Answers holds the answer of each other voter, in the order of the identities.
	Answers []VoterAnswer
}

// electionRecord is what a member keeps of its last election until it has a leader again.
type electionRecord struct {
	term      uint64
	preVote   bool
	startedAt time.Duration
	attempts  int
	answers   map[string]VoteAnswer
}

// recordCampaign records that votes were requested for a term.
func (c *Core) recordCampaign(term uint64, preVote bool) {
	c.election = electionRecord{term: term, preVote: preVote, startedAt: c.now, attempts: c.election.attempts + 1, answers: make(map[string]VoteAnswer)}
}

// recordVoteAnswer records the answer of a voter to the last election.
func (c *Core) recordVoteAnswer(message *v1.ConsensusMessage) {
	isPreVote := message.GetType() == v1.MessageType_MESSAGE_TYPE_PRE_VOTE_ANSWER
	if c.election.answers == nil || c.election.preVote != isPreVote {
		return
	}
	c.election.answers[message.GetFrom()] = c.classifyVoteAnswer(message)
}

// classifyVoteAnswer returns what an answer means. A refusal carries the last entry of the voter's log.
func (c *Core) classifyVoteAnswer(message *v1.ConsensusMessage) VoteAnswer {
	last := position{index: message.GetLogIndex(), term: message.GetLogTerm()}
	refusedTerm := c.election.term
	if c.election.preVote {
		refusedTerm-- // a voter of the candidate's own term may vote in the next one
	}
	switch {
	case !message.GetReject():
		return VoteGranted
	case message.GetTerm() > refusedTerm:
		return VoteRefusedForTerm
	case last.isAheadOf(c.log.last()):
		return VoteRefusedForLog
	default:
		return VoteRefusedForLeader
	}
}

// lastElection returns the last election of this member; nil if it has followed or been a leader since.
func (c *Core) lastElection() *Election {
	if c.election.answers == nil {
		return nil
	}
	election := &Election{Term: c.election.term, PreVote: c.election.preVote, Age: c.now - c.election.startedAt, Attempts: c.election.attempts}
	for _, id := range c.members.voters() {
		if id == c.id {
			continue
		}
		answer, hasAnswered := c.election.answers[id]
		if !hasAnswered {
			answer = VoteSilent
		}
		election.Answers = append(election.Answers, VoterAnswer{MemberID: id, Name: c.members.byID[id].GetName(), Answer: answer})
	}
	return election
}
