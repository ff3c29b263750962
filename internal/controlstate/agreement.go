package controlstate

import (
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/usage"
)

// agreement is the format agreement in force: the highest format whose commands take effect. Controllers of the first
// format skip commands that they do not know. Commands of later formats therefore take effect only while all voters
// know them, from the log index of an agreement on. The state that such commands build is reset with each agreement, so
// that no replica holds a part of it that another replica has skipped.
type agreement struct {
	// format is the highest format whose commands take effect; index is the log index of the agreement on it.
	format formats.Number
	index  uint64
	// stateMissing is true if other replicas hold agreed state that this one does not hold, because its controller ran
	// a build of the first format in the meantime. The next agreement resets that state everywhere and clears the flag.
	stateMissing bool
}

// AgreedFormat returns the highest format whose commands take effect.
func (s *State) AgreedFormat() formats.Number { return s.agreed.format }

// AgreementIndex returns the log index of the agreement in force; 0 before the first agreement.
func (s *State) AgreementIndex() uint64 { return s.agreed.index }

// IsMissingAgreedState reports whether other replicas hold agreed state that this one does not hold. The next agreement
// clears it.
func (s *State) IsMissingAgreedState() bool { return s.agreed.stateMissing }

// agree applies a new agreement.
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

// beginAgreement starts an agreement and resets the state that commands above the first format have built.
func (s *State) beginAgreement(index uint64, number formats.Number) {
	s.agreed = agreement{format: number, index: index}
	s.usage = usage.NewLedger()
	s.replicas = map[string]*v1.SetReplicas{}
	s.suspects = quarantine.NewLedger()
}

// checkFormat returns why a command must not be applied; nil if it may be applied. A command that refers to an
// agreement which this state does not hold shows that a controller of the first format wrote the state or its
// snapshot: checkFormat then resets the agreed state and marks it as missing.
func (s *State) checkFormat(index uint64, command *v1.Command) error {
	number, known := formats.CommandFormat(command)
	if !known && len(command.ProtoReflect().GetUnknown()) > 0 {
		return trace.Wrap(ErrUnknownCommand, "log index %d holds a command of another build; run the build that proposed it", index)
	}
	switch {
	case command.GetAgreedAt() == 0:
		s.agreed.stateMissing = false // no agreement was in force where the command was proposed
	case command.GetAgreedAt() > s.agreed.index:
		s.beginAgreement(s.agreed.index, formats.First)
		s.agreed.stateMissing = true
	}
	if _, isAgreement := command.GetBody().(*v1.Command_AgreeFormat); isAgreement || number <= s.agreed.format {
		return nil
	}
	return trace.Wrap(ErrFormatNotAgreed, "log index %d is of format %d, format %d is agreed on", index, number, s.agreed.format)
}
