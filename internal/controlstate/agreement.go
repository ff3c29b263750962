package controlstate

import (
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/usage"
)

// agreement says which commands take effect. Controllers of the first format pass over commands that they do not know,
// so that commands of later formats count only while all voters know them, from an agreement on, and what they made
// begins anew with each agreement: no replica can hold anything of it that another one has missed.
type agreement struct {
	// format is the highest format whose commands take effect, index the log index of the agreement on it.
	format formats.Number
	index  uint64
	// stateMissing tells that others hold what was agreed on and this state does not: its controller was of the first format
	// meanwhile. It is whole again with the next agreement.
	stateMissing bool
}

// AgreedFormat is the highest format whose commands take effect.
func (s *State) AgreedFormat() formats.Number { return s.agreed.format }

// AgreementIndex is the log index of the agreement in force; 0 before the first.
func (s *State) AgreementIndex() uint64 { return s.agreed.index }

// IsMissingAgreedState reports whether others hold what was agreed on and this state does not. The next agreement ends it.
func (s *State) IsMissingAgreedState() bool { return s.agreed.stateMissing }

// agree puts another agreement in force.
func (s *State) agree(index uint64, body *v1.AgreeFormat) Result {
	number := formats.Number(body.GetFormat())
	if number > formats.Newest {
		return Result{Err: trace.Wrap(ErrUnknownCommand, "log index %d agrees on format %d, this build knows %d; run the build that proposed it", index, number, formats.Newest)}
	}
	s.beginAgreement(index, number)
	if number >= formats.QuarantinedRequests {
		s.suspects = quarantine.Restore(body.GetSuspects())
	}
	if first := body.GetFirstWindow(); number >= formats.UsageWindows && first > 0 {
		s.usage.CloseThrough(usage.Window(first - 1))
	}
	return Result{}
}

// beginAgreement lets what commands above the first format have made begin anew.
func (s *State) beginAgreement(index uint64, number formats.Number) {
	s.agreed = agreement{format: number, index: index}
	s.usage = usage.NewLedger()
	s.replicas = map[string]*v1.SetReplicas{}
	s.suspects = quarantine.NewLedger()
}

// checkFormat returns why a command must not be applied; nil where it may. A command that builds on an agreement which
// this state does not have shows that the state was written by a controller of the first format, or taken from one.
func (s *State) checkFormat(index uint64, command *v1.Command) error {
	number, known := formats.CommandFormat(command)
	if !known && len(command.ProtoReflect().GetUnknown()) > 0 {
		return trace.Wrap(ErrUnknownCommand, "log index %d holds a command of another build; run the build that proposed it", index)
	}
	switch {
	case command.GetAgreedAt() == 0:
		s.agreed.stateMissing = false // nothing is agreed on where it was proposed
	case command.GetAgreedAt() > s.agreed.index:
		s.beginAgreement(s.agreed.index, formats.First)
		s.agreed.stateMissing = true
	}
	if _, isAgreement := command.GetBody().(*v1.Command_AgreeFormat); isAgreement || number <= s.agreed.format {
		return nil
	}
	return trace.Wrap(ErrFormatNotAgreed, "log index %d is of format %d, format %d is agreed on", index, number, s.agreed.format)
}
