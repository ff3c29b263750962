package controlstate

import (
	"strings"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// addAudit appends a record to the audit trail and cuts its text to the bound.
func (s *State) addAudit(at int64, record *v1.AuditRecord) {
	s.auditSequence++
	record.Sequence = s.auditSequence
	record.AtMs = at
	if len(record.Text) > MaximumTextBytes {
		record.Text = strings.ToValidUTF8(record.Text[:MaximumTextBytes], "")
	}
	s.audit.add(record)
}

// Audit lists the remembered submissions of operators, oldest first.
func (s *State) Audit() []*v1.AuditRecord { return s.audit.all() }
