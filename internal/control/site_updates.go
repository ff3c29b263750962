package control

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/packed"
)

// siteUpdates holds the contents of the leader's updates to relays, built once and sent to all relays.
type siteUpdates struct {
	// relayList are the addresses of the relays, relaysWithoutPermits the addresses of those that do not grant permits
	// to other relays, relayFormats the highest formats of the relays in relayList, in the same order, and relayListHash
	// is a hash of the three lists. All are current while relayListFresh is true.
	relayList            []string
	relaysWithoutPermits []string
	relayFormats         []uint32
	relayListHash        uint64
	relayListFresh       bool
	// documents are the documents that are published to relays.
	documents publishedDocuments
	// packedContent is the compressed content of the document that has the number packedNumber.
	packedContent []byte
	packedNumber  uint64
	// lastState is the state for which all waiting watches were last checked.
	lastState siteState
}

// siteState holds the versions of everything that relays receive: when it changes, there may be an update for relays.
type siteState struct {
	leads bool
	// leader is the address of the leader as far as it is known here.
	leader          string
	number, listing uint64
	// quarantineVersion is the version of the quarantined requests.
	quarantineVersion uint64
}

// siteState returns the current state.
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

// addDocument adds the newest published document to a response, whole or as a patch.
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

// canApplyPatch reports whether a relay can be sent a patch: the relay supports patches, and has not been sent the document
// with the number newest before without applying it.
func (c *Core) canApplyPatch(request *v1.WatchRequest, newest uint64) bool {
	if !formats.FromWire(request.GetFormats()).Supports(formats.DocumentPatches) {
		return false
	}
	record := c.relays[request.GetNode().GetName()]
	return record == nil || record.document.failedAttempts(request.GetDocumentNumber(), newest) == 0
}

// packedDocument returns the compressed document, which is packed once for each number.
func (c *Core) packedDocument(document *v1.Document) []byte {
	if c.updates.packedContent == nil || c.updates.packedNumber != document.GetNumber() {
		c.updates.packedContent, c.updates.packedNumber = packed.Pack(document), document.GetNumber()
	}
	return c.updates.packedContent
}
