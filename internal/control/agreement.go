package control

import (
	"errors"
	"slices"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/usage"
)

// Halt tells the runtime that this controller must not go on: it would hold another state than the others. Its disk
// stays as it is.
type Halt struct{ Err error }

func (Halt) isOutput() {}

// errFormatNotAgreed answers a call whose command not all members know.
var errFormatNotAgreed = trace.ConnectionProblem(nil, "a controller that is a member does not know this yet; finish the upgrade, or send it again later")

// memberFormats is what a controller knows of the formats of the others, and what it does about them as the leader.
type memberFormats struct {
	// byMember are the formats that members have byMember, by their identities.
	byMember map[string]formats.Range
	// proposedIndex is the log index of the last agreement that this leader has proposedIndex.
	proposedIndex uint64
}

// recordFormats takes which formats another controller knows.
func (c *Core) recordFormats(message *v1.ConsensusMessage) {
	c.formats.byMember[message.GetFrom()] = formats.FromWire(message.GetFormats())
}

// advertisedFormats is what this controller tells of itself. One that missed what was agreed on tells the first format alone:
// the leader then ends the agreement, and proposes the next one, with which all hold the same again.
func (c *Core) advertisedFormats() formats.Range {
	if c.state.IsMissingAgreedState() {
		return formats.Range{}
	}
	return formats.Supported()
}

// commonFormat is the highest format that all members know as far as they were heard of. It is certain once all were.
func (c *Core) commonFormat() (common formats.Number, certain bool) {
	common, certain = formats.Newest, true
	for _, member := range c.otherMembers() {
		if supported, known := c.formats.byMember[member.GetId()]; known {
			common = min(common, supported.Highest)
		} else {
			certain = false
		}
	}
	return common, certain
}

// otherMembers are the members of the quorum, learners too, without this controller.
func (c *Core) otherMembers() []*v1.Member {
	return slices.DeleteFunc(slices.Clone(c.consensus.Membership().GetMembers()), func(member *v1.Member) bool { return member.GetId() == c.consensus.ID() })
}

// agreementBlockers returns the names of the members that keep this leader from an agreement on its own format.
func (c *Core) agreementBlockers() []string {
	if !c.leading {
		return nil
	}
	var names []string
	for _, member := range c.otherMembers() {
		if supported, known := c.formats.byMember[member.GetId()]; !known || !supported.Supports(formats.Newest) {
			names = append(names, member.GetName())
		}
	}
	slices.Sort(names)
	return names
}

// tickAgreement proposes another agreement when a member knows less than is agreed on, or all know more.
func (c *Core) tickAgreement() {
	common, certain := c.commonFormat()
	agreed := c.state.AgreedFormat()
	pending := c.formats.proposedIndex > c.applied
	if !pending && (common < agreed || certain && common > agreed) {
		c.proposeAgreement(common)
	}
}

func (c *Core) proposeAgreement(number formats.Number) {
	agreement := &v1.AgreeFormat{Format: uint32(number), Suspects: c.suspects().Snapshot(), FirstWindow: c.currentWindow()}
	index, err := c.propose(&v1.Command{Body: &v1.Command_AgreeFormat{AgreeFormat: agreement}}, 0, nil)
	if err == nil {
		c.formats.proposedIndex = index
	}
}

// currentWindow is the window of usage that is under way; 0 where none are counted, or the time of day is not known.
func (c *Core) currentWindow() int64 {
	now, known := c.trueTime()
	if !known || c.config.Usage.Window <= 0 {
		return 0
	}
	return int64(usage.WindowAt(now, c.config.Usage.Window))
}

// isAgreed reports whether commands of a format take effect.
func (c *Core) isAgreed(number formats.Number) bool { return number <= c.state.AgreedFormat() }

// canPropose reports whether all members know a command.
func (c *Core) canPropose(command *v1.Command) bool {
	if _, isAgreement := command.GetBody().(*v1.Command_AgreeFormat); isAgreement {
		return true
	}
	number, known := formats.CommandFormat(command)
	return known && c.isAgreed(number)
}

// suspects is what is known of requests under which replicas have ended: what is agreed on, or, while that cannot be,
// what this controller has heard by itself and was agreed on before.
func (c *Core) suspects() *quarantine.Ledger {
	if c.isAgreed(formats.QuarantinedRequests) {
		return c.state.Suspects()
	}
	return c.localSuspects
}

// knowsQuarantined reports whether this controller knows which requests are held: while that is not agreed on only the leader
// does.
func (c *Core) knowsQuarantined() bool { return c.leading || c.isAgreed(formats.QuarantinedRequests) }

// applySuspectChange carries out a command on the suspects: by the log where it is agreed that all members know it.
func (c *Core) applySuspectChange(command *v1.Command, call CallID, finish func(*Core, controlstate.Result)) {
	if c.isAgreed(formats.QuarantinedRequests) {
		c.proposeForCall(command, call, finish)
		return
	}
	result := controlstate.Result{}
	if c.config.Safeguards.IsEnabled(controlstate.Quarantine) {
		result = controlstate.ApplySuspectCommand(c.localSuspects, command)
	}
	finish(c, result)
}

// applySuspectChangeWithoutCall carries out a command for which no call waits.
func (c *Core) applySuspectChangeWithoutCall(command *v1.Command) {
	if c.isAgreed(formats.QuarantinedRequests) {
		c.proposeWithoutCall(command)
		return
	}
	controlstate.ApplySuspectCommand(c.localSuspects, command)
}

// retainSuspects keeps what was agreed on of the suspects once that is agreed on no longer.
func (c *Core) retainSuspects(agreed *quarantine.Ledger) {
	if !c.isAgreed(formats.QuarantinedRequests) && c.state.Suspects() != agreed {
		c.localSuspects = agreed
	}
}

// halt ends this controller's part if an entry could not be applied that others apply.
func (c *Core) halt(err error) {
	if c.halted || !errors.Is(err, controlstate.ErrUnknownCommand) {
		return
	}
	c.halted = true
	c.emit(Halt{Err: err})
}
