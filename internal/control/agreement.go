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

// Halt tells the runtime that this controller must stop: its state would diverge from the other replicas. Its disk
// is left unchanged.
type Halt struct{ Err error }

func (Halt) isOutput() {}

// errFormatNotAgreed answers a call whose command is of a format that not all members are known to support.
var errFormatNotAgreed = trace.ConnectionProblem(nil, "a controller that is a member does not know this yet; finish the upgrade, or send it again later")

// memberFormats tracks the formats that the other members support, and this leader's agreement on a common format.
type memberFormats struct {
	// byMember are the format ranges that members have reported, by member identity.
	byMember map[string]formats.Range
	// proposedIndex is the log index of the last agreement that this leader has proposed, and suspectsIndex that of its
	// last command to the ledger of suspects; 0 before the first.
	proposedIndex, suspectsIndex uint64
	// needed is true while another format must be agreed on.
	needed bool
}

// recordFormats records the format range that another controller reports.
func (c *Core) recordFormats(message *v1.ConsensusMessage) {
	c.formats.byMember[message.GetFrom()] = formats.FromWire(message.GetFormats())
}

// advertisedFormats returns the formats of the log that this controller reports to the other controllers. They leave out formats
// that add nothing to the log, because leaders of former builds agree on any format that all members report. A controller whose
// state lacks agreed state reports only the first format: the leader then proposes an agreement on the first format and, later, a
// new one on a higher format, with which all replicas start from the same state.
func (c *Core) advertisedFormats() formats.Range {
	if c.state.IsMissingAgreedState() {
		return formats.Range{}
	}
	return formats.SupportedStored()
}

// commonFormat returns the highest format of the log that is supported by this controller and by all members that have
// reported their formats; certain is false while a member has not reported.
func (c *Core) commonFormat() (common formats.Number, certain bool) {
	common, certain = formats.NewestStored, true
	for _, member := range c.otherMembers() {
		if supported, known := c.formats.byMember[member.GetId()]; known {
			common = min(common, supported.Highest)
		} else {
			certain = false
		}
	}
	return common, certain
}

// otherMembers returns the members of the quorum, including learners, without this controller.
func (c *Core) otherMembers() []*v1.Member {
	return slices.DeleteFunc(slices.Clone(c.consensus.Membership().GetMembers()), func(member *v1.Member) bool { return member.GetId() == c.consensus.ID() })
}

// agreementBlockers returns the names of the members that prevent this leader from agreeing on its own newest format of the log.
func (c *Core) agreementBlockers() []string {
	if !c.leading {
		return nil
	}
	var names []string
	for _, member := range c.otherMembers() {
		if supported, known := c.formats.byMember[member.GetId()]; !known || !supported.Supports(formats.NewestStored) {
			names = append(names, member.GetName())
		}
	}
	slices.Sort(names)
	return names
}

// tickAgreement proposes a new agreement when this controller or a member supports only formats of the log below the agreed
// one, or when all support a higher one. The agreement replaces the ledger of suspects by the one that it carries, so it is proposed only
// once this leader's commands to the ledger are applied, and further ones wait until it is applied.
func (c *Core) tickAgreement() {
	common, certain := c.commonFormat()
	agreed := c.state.AgreedFormat()
	c.formats.needed = common < agreed || certain && common > agreed
	if c.formats.needed && !c.isAgreementPending() && c.formats.suspectsIndex <= c.applied {
		c.proposeAgreement(common)
	}
	c.resumeSuspectChanges()
}

// isAgreementPending reports whether this leader has proposed an agreement that is not applied yet.
func (c *Core) isAgreementPending() bool { return c.formats.proposedIndex > c.applied }

func (c *Core) proposeAgreement(number formats.Number) {
	agreement := &v1.AgreeFormat{Format: uint32(number), Suspects: c.suspects().Snapshot(), FirstWindow: c.currentWindow()}
	index, err := c.propose(&v1.Command{Body: &v1.Command_AgreeFormat{AgreeFormat: agreement}}, 0, nil)
	if err == nil {
		c.formats.proposedIndex = index
	}
}

// currentWindow returns the current usage window; 0 when usage is not counted or the time of day is not known.
func (c *Core) currentWindow() int64 {
	now, known := c.trueTime()
	if !known || c.config.Usage.Window <= 0 {
		return 0
	}
	return int64(usage.WindowAt(now, c.config.Usage.Window))
}

// isAgreed reports whether the agreed format includes the format number, so that commands of that format take effect.
func (c *Core) isAgreed(number formats.Number) bool { return number <= c.state.AgreedFormat() }

// canPropose reports whether a command may be proposed: it is itself an agreement, or its format is agreed on.
func (c *Core) canPropose(command *v1.Command) bool {
	if _, isAgreement := command.GetBody().(*v1.Command_AgreeFormat); isAgreement {
		return true
	}
	number, known := formats.CommandFormat(command)
	return known && c.isAgreed(number)
}

// suspects returns the ledger of requests that were running when replicas crashed. It is the replicated ledger or,
// while its format is not agreed on, a local one: the last agreed ledger, updated with the reports received here
// since then.
func (c *Core) suspects() *quarantine.Ledger {
	if c.isAgreed(formats.QuarantinedRequests) {
		return c.state.Suspects()
	}
	return c.localSuspects
}

// knowsQuarantined reports whether this controller knows which requests are quarantined. While the format of the ledger
// is not agreed on, only the leader does.
func (c *Core) knowsQuarantined() bool { return c.leading || c.isAgreed(formats.QuarantinedRequests) }

// retainSuspects makes the agreed ledger the local one once the ledger's format is no longer agreed on.
func (c *Core) retainSuspects(agreed *quarantine.Ledger) {
	if !c.isAgreed(formats.QuarantinedRequests) && c.state.Suspects() != agreed {
		c.localSuspects = agreed
	}
}

// halt stops this controller if err says that it cannot apply an entry that other replicas apply.
func (c *Core) halt(err error) {
	if c.halted || !errors.Is(err, controlstate.ErrUnknownCommand) {
		return
	}
	c.halted = true
	c.emit(Halt{Err: err})
}
