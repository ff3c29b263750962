package controlstate

import (
	"strings"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// addAudit appends a record to the audit trail and cuts its texts to the bound.
func (s *State) addAudit(at int64, record *v1.AuditRecord) {
	s.auditSequence++
	record.Sequence = s.auditSequence
	record.AtMs = at
	record.Text = cutText(record.Text)
	record.Outcome = cutText(record.Outcome)
	s.audit.add(record)
}

// cutText cuts a text to the bound.
func cutText(text string) string {
	if len(text) <= MaximumTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:MaximumTextBytes], "")
}

// Audit lists the remembered submissions of operators, oldest first.
func (s *State) Audit() []*v1.AuditRecord { return s.audit.all() }
