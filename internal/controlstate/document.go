package controlstate

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// MaximumDocumentBytes limits the content of the configuration document.
const MaximumDocumentBytes = 8 << 20

// Document returns the configuration document in force, or nil before the first one. Callers must
// not change it.
func (s *State) Document() *v1.Document { return s.document }

// StreamRoutes returns where the document's routes of streams lead; nil if the build that put it in force did not tell. Callers must not
// change it.
func (s *State) StreamRoutes() *v1.StreamRoutes { return s.streamRoutes }

// putDocument applies a document if its number is higher than the current one. A document with a lower or
// equal number has been superseded: it is ignored without an error.
func (s *State) putDocument(body *v1.PutDocument) Result {
	document := body.GetDocument()
	if document.GetNumber() == 0 || len(document.GetContent()) > MaximumDocumentBytes {
		return Result{Err: trace.Wrap(ErrInvalidCommand, "document %d has %d bytes; numbers start at 1 and at most %d bytes are kept",
			document.GetNumber(), len(document.GetContent()), MaximumDocumentBytes)}
	}
	if document.GetNumber() > s.document.GetNumber() {
		s.document, s.streamRoutes = proto.CloneOf(document), body.GetStreamRoutes()
	}
	return Result{}
}
