package control

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// PutDocumentReceived requests that a configuration document be put in force. The runtime has
// checked its content. The answer is an empty Document once this document, or one with a higher
// number, is committed.
type PutDocumentReceived struct {
	Call     CallID
	Document *v1.Document
	// Routes says where the document's routes of streams lead.
	Routes streamorigin.Routes
}

// ReadDocumentReceived requests the document in force. The answer is a Document; number 0
// means that there is none.
type ReadDocumentReceived struct{ Call CallID }

func (PutDocumentReceived) isInput()  {}
func (ReadDocumentReceived) isInput() {}

// handlePutDocument commits a document. One whose number is not above the number in force
// changes nothing and is acknowledged at once.
func (c *Core) handlePutDocument(received PutDocumentReceived) {
	if !c.requireLeader(received.Call) {
		return
	}
	done := Answer{Call: received.Call, Response: &v1.Document{}}
	if received.Document.GetNumber() <= c.state.Document().GetNumber() {
		c.answer(done)
		return
	}
	if !c.leading { // the lease became valid in this step
		c.refuse(received.Call, c.notLeader())
		return
	}
	command := &v1.Command{Body: &v1.Command_PutDocument{PutDocument: &v1.PutDocument{Document: received.Document}}}
	changed := c.recordRoutes(command, received.Routes)
	index, err := c.propose(command, received.Call, func(core *Core, result controlstate.Result) {
		core.applyRoutes(changed)
		if result.Err != nil {
			core.refuse(received.Call, result.Err)
			return
		}
		core.answer(done)
	})
	if err != nil {
		c.refuse(received.Call, err)
		return
	}
	c.proposeRoutes(received.Routes)
	if record := command.GetServedVersions(); record != nil {
		c.listing.versionsIndex, c.listing.proposedVersions = index, record
	}
}

// handleReadDocument answers with the document in force. Only a leader with a valid lease
// knows that no later one has been acknowledged.
func (c *Core) handleReadDocument(received ReadDocumentReceived) {
	if !c.requireLeader(received.Call) {
		return
	}
	document := c.state.Document()
	if document == nil {
		document = &v1.Document{}
	}
	c.answer(Answer{Call: received.Call, Response: document})
}
