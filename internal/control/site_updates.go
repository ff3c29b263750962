package control

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/packed"
)

// siteUpdates is what the leader tells relays, made once however many ask.
type siteUpdates struct {
	// relayList are the addresses of the relays, formerRelays those of them that know the first format alone, and
	// relayHash is the hash of both, while fresh is set.
	relayList      []string
	formerRelays   []string
	relayListHash  uint64
	relayListFresh bool
	// documents are those that relays are told of.
	documents publishedDocuments
	// packedContent is the packedContent with the number, compressed.
	packedContent []byte
	packedNumber  uint64
	// lastState is what all watches that wait were held against last.
	lastState siteState
}

// siteState is what decides whether there is something new for relays.
type siteState struct {
	leads bool
	// leader is the address of the controller that leads as far as is known here.
	leader          string
	number, listing uint64
	// quarantineVersion is the version of the quarantineVersion requests.
	quarantineVersion uint64
}

// siteState returns what holds now.
func (c *Core) siteState() siteState {
	state := siteState{leads: c.leading && c.canAnswerAsLeader(), listing: c.listing.version}
	if state.leads {
		_, state.quarantineVersion = c.quarantinedRequests()
		state.number = c.updates.documents.advance(c.now, c.state.Document()).GetNumber()
		return state
	}
	if leader := c.consensus.LeaderAddress(); leader != c.config.Address {
		state.leader = leader
	}
	return state
}

// addDocument tells a relay the newest document that is told, whole or as what has changed.
func (c *Core) addDocument(request *v1.WatchRequest, response *v1.WatchResponse) {
	document := c.updates.documents.newest()
	if document.GetNumber() <= request.GetDocumentNumber() {
		return
	}
	if c.canApplyPatch(request, document.GetNumber()) {
		if patch := c.updates.documents.patchFrom(request.GetDocumentNumber()); patch != nil {
			response.DocumentPatch, response.PatchedNumber = patch, document.GetNumber()
			return
		}
	}
	response.PackedDocument = c.packedDocument(document)
}

// canApplyPatch reports whether a relay can be told what has changed: it has said that it knows patches, and has not been
// told the same before in vain.
func (c *Core) canApplyPatch(request *v1.WatchRequest, newest uint64) bool {
	if !formats.FromWire(request.GetFormats()).Supports(formats.DocumentPatches) {
		return false
	}
	record := c.relays[request.GetNode().GetName()]
	return record == nil || record.document.failedAttempts(request.GetDocumentNumber(), newest) == 0
}

// packedDocument is the document, compressed once for its number.
func (c *Core) packedDocument(document *v1.Document) []byte {
	if c.updates.packedContent == nil || c.updates.packedNumber != document.GetNumber() {
		c.updates.packedContent, c.updates.packedNumber = packed.Pack(document), document.GetNumber()
	}
	return c.updates.packedContent
}
