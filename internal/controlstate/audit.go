package controlstate

import (
	"strings"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// addAudit appends a record to the audit trail and truncates its texts to MaximumTextBytes.
func (s *State) addAudit(at int64, record *v1.AuditRecord) {
	s.auditSequence++
	record.Sequence = s.auditSequence
	record.AtMs = at
	record.Text = cutText(record.Text)
	record.Outcome = cutText(record.Outcome)
	s.audit.add(record)
}

// cutText truncates a text to MaximumTextBytes and drops a character that the cut leaves incomplete.
func cutText(text string) string {
	if len(text) <= MaximumTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:MaximumTextBytes], "")
}

// Audit lists the retained audit records of operators' submissions, oldest first.
func (s *State) Audit() []*v1.AuditRecord { return s.audit.all() }
