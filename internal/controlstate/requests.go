package controlstate

import (
	"bytes"
	"crypto/sha256"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// requestKey identifies a submission. Request identities are separate for each operator.
type requestKey struct{ operator, requestID string }

// requestRecords retains the first answers to operators' submissions for resends.
type requestRecords struct {
	records recent[*v1.RequestRecord]
	byKey   map[requestKey]*v1.RequestRecord
}

func newRequestRecords() *requestRecords {
	return &requestRecords{
		records: newRecent[*v1.RequestRecord](MaximumRequestRecords),
		byKey:   map[requestKey]*v1.RequestRecord{},
	}
}

// find returns the first answer to a resend, or nil for a new submission. It returns an error
// when the request identity was used with other content.
func (m *requestRecords) find(operator, requestID string, contentHash []byte) (*v1.RequestRecord, error) {
	record := m.byKey[requestKey{operator, requestID}]
	if requestID == "" || record == nil {
		return nil, nil
	}
	if !bytes.Equal(record.ContentHash, contentHash) {
		return nil, trace.Wrap(ErrRequestReused, "request %q; choose a new identity for a new submission", requestID)
	}
	return record, nil
}

// add records the first answer to a submission, if the submission has a request identity.
func (m *requestRecords) add(record *v1.RequestRecord) {
	if record.RequestId == "" {
		return
	}
	m.byKey[requestKey{record.Operator, record.RequestId}] = record
	for _, evicted := range m.records.add(record) {
		key := requestKey{evicted.Operator, evicted.RequestId}
		if m.byKey[key] == evicted {
			delete(m.byKey, key)
		}
	}
}

// declarationHash returns the hash of a declaration as its sender submitted it, without the
// salt seed that the proposer adds.
func declarationHash(declaration *v1.ApplyDeclaration) []byte {
	content := proto.CloneOf(declaration)
	content.SaltSeed = nil
	return messageHash(content)
}

func messageHash(message proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		// Marshal fails only for invalid UTF-8; such a message never equals a valid one.
		data = []byte(err.Error())
	}
	sum := sha256.Sum256(data)
	return sum[:]
}

func textHash(text string) []byte {
	sum := sha256.Sum256([]byte(text))
	return sum[:]
}

// FirstAnswer returns the recorded answer to an operator's command that is not a
// declaration, or nil for a new command. It returns an error when the request
// identity was used with another text.
func (s *State) FirstAnswer(operator, requestID, text string) (*v1.RequestRecord, error) {
	if !s.safeguards.IsEnabled(ResendDeduplication) {
		return nil, nil
	}
	return s.requests.find(operator, requestID, textHash(text))
}

// recordRequest records and audits an operator's command that has no other effect on the replicated state.
func (s *State) recordRequest(at int64, request *v1.RecordRequest) Result {
	if request.Refusal != "" {
		s.addAudit(at, &v1.AuditRecord{
			Operator: request.Operator, RequestId: request.RequestId, Text: request.Text, Outcome: "refused: " + request.Refusal,
		})
		return Result{}
	}
	first, err := s.FirstAnswer(request.Operator, request.RequestId, request.Text)
	if err != nil {
		return Result{Err: err}
	}
	if first != nil {
		return Result{Answer: first.Answer, Err: recordedError(first)}
	}
	s.recordAnswer(request.Operator, request.RequestId, request.Text, request.Answer, nil)
	s.addAudit(at, &v1.AuditRecord{
		Operator: request.Operator, RequestId: request.RequestId, Text: request.Text, Outcome: "done",
	})
	return Result{Answer: request.Answer}
}

func (s *State) recordAnswer(operator, requestID, text, answer string, err error) {
	record := &v1.RequestRecord{
		Operator: operator, RequestId: requestID, ContentHash: textHash(text), Answer: answer,
	}
	if err != nil {
		record.Error = trace.UserMessage(err)
	}
	s.requests.add(record)
}

// recordedError restores the error of a first answer. The kind of the error is not recorded.
func recordedError(record *v1.RequestRecord) error {
	if record.Error == "" {
		return nil
	}
	return trace.BadParameter("%s", record.Error)
}
