package control

import (
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/duty"
	"github.com/hazelpitch/hazelpitch/internal/usage"
)

// UsageReceived is a relay's report of tenants' usage. The answer, a ReportUsageResponse, is sent once the
// report is committed.
type UsageReceived struct {
	Call   CallID
	Report *v1.UsageReport
}

// DeliverUsage reports the counts of a window to the platform; UsageDelivered follows, also when the answer is lost.
type DeliverUsage struct {
	DutyCall
	Window usage.Window
	Counts usage.Counts
	// Late is true if the report of the window is overdue.
	Late bool
}

// UsageDelivered is the result of DeliverUsage.
type UsageDelivered struct {
	Call    DeliverUsage
	Outcome duty.Outcome
}

func (UsageReceived) isInput()  {}
func (UsageDelivered) isInput() {}
func (DeliverUsage) isOutput()  {}

// SubjectUsage is the duty subject of all calls that report usage to the platform.
const SubjectUsage duty.Subject = "usage"

// errUsageNotCounted answers a report when usage is not counted here, or not yet.
var errUsageNotCounted = trace.ConnectionProblem(nil, "usage is not counted here yet; send the report again")

// siteUsage collects usage at the leader and reports it to the platform.
type siteUsage struct {
	reporter *usage.Reporter
	// waiting are the calls whose reports go into the next command, in order of arrival.
	waiting []usageCall
}

// usageCall is a relay's call with its report.
type usageCall struct {
	id     CallID
	report *v1.UsageReport
}

func newSiteUsage(config Config) siteUsage {
	return siteUsage{reporter: usage.NewReporter(config.Usage)}
}

// handleUsage queues a relay's report. The reports of one tick go into one command.
func (c *Core) handleUsage(received UsageReceived) {
	if !c.requireLeader(received.Call) {
		return
	}
	if c.config.Usage.Window <= 0 || c.state.Usage().NextOpenWindow() == 0 {
		c.refuse(received.Call, errUsageNotCounted)
		return
	}
	if c.state.Usage().HasReport(received.Report) {
		c.answer(Answer{Call: received.Call, Response: &v1.ReportUsageResponse{}})
		return
	}
	c.usage.waiting = append(c.usage.waiting, usageCall{id: received.Call, report: received.Report})
}

// tickUsage proposes the queued reports, closes windows and reports them to the platform.
func (c *Core) tickUsage() {
	if c.config.Usage.Window <= 0 {
		return
	}
	c.recordUsage()
	now, agreed := c.trueTime()
	if !agreed {
		return
	}
	if through, due := c.usage.reporter.NextClosing(c.now, now, c.state.Usage()); due {
		c.proposeWithoutCall(&v1.Command{Body: &v1.Command_CloseUsage{CloseUsage: &v1.CloseUsage{Through: int64(through)}}})
	}
	c.deliverUsage(now)
}

// recordUsage proposes the queued reports as one command.
func (c *Core) recordUsage() {
	waiting := c.usage.waiting
	if len(waiting) == 0 {
		return
	}
	c.usage.waiting = nil
	record := &v1.RecordUsage{}
	calls := make([]CallID, len(waiting))
	for index, call := range waiting {
		record.Reports = append(record.Reports, call.report)
		calls[index] = call.id
	}
	command := &v1.Command{Body: &v1.Command_RecordUsage{RecordUsage: record}}
	c.proposeForCalls(command, calls, func(core *Core, _ controlstate.Result) {
		for _, call := range calls {
			core.answer(Answer{Call: call, Response: &v1.ReportUsageResponse{}})
		}
	})
}

// deliverUsage reports the next window to the platform. A new leader first waits until the previous leader's
// calls can no longer arrive.
func (c *Core) deliverUsage(trueTimeMs int64) {
	if !c.mayCallPlatform(SubjectUsage) {
		return
	}
	closed, due := c.usage.reporter.NextReport(trueTimeMs, c.state.Usage())
	if !due {
		return
	}
	c.emit(DeliverUsage{
		DutyCall: c.startDutyCall(SubjectUsage), Window: closed.Window, Counts: closed.Counts,
		Late: c.usage.reporter.IsOverdue(closed.Window, trueTimeMs),
	})
}

// handleUsageDelivered processes the result of a call. The call may have been made in an earlier term.
func (c *Core) handleUsageDelivered(received UsageDelivered) {
	if !c.leading {
		return
	}
	c.finishDutyCall(received.Call.DutyCall, received.Outcome)
	if received.Outcome != duty.Accepted {
		return
	}
	window := received.Call.Window
	c.usage.reporter.MarkDelivered(window)
	c.proposeWithoutCall(&v1.Command{Body: &v1.Command_SettleUsage{SettleUsage: &v1.SettleUsage{Window: int64(window)}}})
}

// refuseWaitingUsage refuses the reports that were not proposed.
func (c *Core) refuseWaitingUsage() {
	for _, call := range c.usage.waiting {
		c.refuse(call.id, c.notLeader())
	}
	c.usage.waiting = nil
}
