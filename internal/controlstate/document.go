package controlstate

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// MaximumDocumentBytes bounds the configuration document.
const MaximumDocumentBytes = 8 << 20

// Document returns the configuration document in force; nil before the first. It must
// not be changed.
func (s *State) Document() *v1.Document { return s.document }

// putDocument puts a document in force if its number is above the one held. A number at or
// below it has no effect and is no error: what it would have put in force was overtaken.
func (s *State) putDocument(body *v1.PutDocument) Result {
	document := body.GetDocument()
	if document.GetNumber() == 0 || len(document.GetContent()) > MaximumDocumentBytes {
		return Result{Err: trace.Wrap(ErrInvalidCommand, "document %d has %d bytes; numbers start at 1 and at most %d bytes are kept",
			document.GetNumber(), len(document.GetContent()), MaximumDocumentBytes)}
	}
	if document.GetNumber() > s.document.GetNumber() {
		s.document = proto.CloneOf(document)
	}
	return Result{}
}
