package control

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/packed"
)

// WatchReceived is a relay's question for what is new; the answer waits until there is
// something or until the relay's wait has passed.
type WatchReceived struct {
	Call    CallID
	Request *v1.WatchRequest
}

func (WatchReceived) isInput() {}

const (
	// maximumWatchWait bounds how long a watch may wait.
	maximumWatchWait = 5 * time.Second
	// relayMemory is how long a relay counts after it was last heard.
	relayMemory = 15 * time.Second
	// relayCountAfter is how long a new leader listens before it tells how many relays
	// there are.
	relayCountAfter = 3 * time.Second
)

// relayRecord is what the leader remembers of a relay.
type relayRecord struct {
	heardAt       time.Duration
	noticeAddress string
}

// watch is a relay's question that waits.
type watch struct {
	request *v1.WatchRequest
	dueAt   time.Duration
}

// siteNews is what the leader tells relays, made once however many ask.
type siteNews struct {
	// relayList and relayHash are the addresses of the relays and their hash while fresh is set.
	relayList []string
	relayHash uint64
	fresh     bool
	// document is the document with the number, compressed.
	document []byte
	number   uint64
	// toldNumber and toldListing are what all watches that wait were held against last, firstDue is
	// when the first of them has waited long enough.
	toldNumber, toldListing uint64
	firstDue                time.Duration
}

// takeWatch answers a relay at once when there is something new, and otherwise lets it wait.
func (c *Core) takeWatch(received WatchReceived) {
	request := received.Request
	if !c.leading || !c.mayAnswerAsLeader() {
		c.answer(Answer{Call: received.Call, Response: c.watchResponse(request, true)})
		return
	}
	c.noteRelay(request)
	if c.hasNews(request) {
		c.answer(Answer{Call: received.Call, Response: c.watchResponse(request, false)})
		return
	}
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maximumWatchWait)
	if len(c.watches) == 0 || c.now+wait < c.news.firstDue {
		c.news.firstDue = c.now + wait
	}
	c.watches[received.Call] = watch{request: request, dueAt: c.now + wait}
}

// noteRelay counts the relay, or forgets it when it leaves.
func (c *Core) noteRelay(request *v1.WatchRequest) {
	name := request.GetNode().GetName()
	if request.GetLeaving() {
		delete(c.relays, name)
		c.news.fresh = false
		return
	}
	if c.relays[name].noticeAddress != request.GetNoticeAddress() {
		c.news.fresh = false
	}
	c.relays[name] = relayRecord{heardAt: c.now, noticeAddress: request.GetNoticeAddress()}
	c.noteWork(request)
}

// answerWatches answers the watches that have something new or have waited long enough,
// and all of them when this controller no longer leads.
func (c *Core) answerWatches() {
	if len(c.watches) == 0 {
		return
	}
	leads := c.leading && c.mayAnswerAsLeader()
	number := c.state.Document().GetNumber()
	if leads && c.now < c.news.firstDue && number == c.news.toldNumber && c.listing.version == c.news.toldListing {
		return
	}
	c.news.toldNumber, c.news.toldListing = number, c.listing.version
	c.news.firstDue = never
	for _, call := range sortedKeys(c.watches) {
		waiting := c.watches[call]
		if leads && c.now < waiting.dueAt && !c.hasNews(waiting.request) {
			c.news.firstDue = min(c.news.firstDue, waiting.dueAt)
			continue
		}
		delete(c.watches, call)
		c.answer(Answer{Call: call, Response: c.watchResponse(waiting.request, !leads)})
	}
}

// hasNews reports whether a relay does not hold what is in force.
func (c *Core) hasNews(request *v1.WatchRequest) bool {
	return c.state.Document().GetNumber() > request.GetDocumentNumber() ||
		c.listing.version != 0 && c.listing.version != request.GetListingVersion()
}

// watchResponse tells a relay what it does not hold. A controller that does not lead
// tells only whom to ask.
func (c *Core) watchResponse(request *v1.WatchRequest, behind bool) *v1.WatchResponse {
	status := c.consensus.Status()
	response := &v1.WatchResponse{LeaderAddress: status.LeaderAddress, Behind: behind}
	for _, member := range status.Membership.GetMembers() {
		response.ControllerAddresses = append(response.ControllerAddresses, member.GetAddress())
	}
	slices.Sort(response.ControllerAddresses)
	if behind {
		return response
	}
	if document := c.state.Document(); document.GetNumber() > request.GetDocumentNumber() {
		response.PackedDocument = c.packedDocument(document)
	}
	response.ListingVersion = c.listing.version
	if c.listing.version != 0 && c.listing.version != request.GetListingVersion() {
		c.listing.history.tell(response, request.GetListingVersion())
	}
	if c.listing.version != 0 {
		response.ListingAgeMs = milliseconds(c.now - c.listing.readAt)
	}
	response.Relays = c.relayCount()
	c.refreshRelayList()
	response.RelayList = c.news.relayHash
	if response.RelayList != request.GetRelayList() {
		response.RelayAddresses = c.news.relayList
	}
	return response
}

// packedDocument is the document, compressed once for its number.
func (c *Core) packedDocument(document *v1.Document) []byte {
	if c.news.document == nil || c.news.number != document.GetNumber() {
		c.news.document, c.news.number = packed.Pack(document), document.GetNumber()
	}
	return c.news.document
}

// refreshRelayList makes the list of relays anew when they are others.
func (c *Core) refreshRelayList() {
	if c.news.fresh {
		return
	}
	c.news.relayList = c.noticeAddresses()
	c.news.relayHash = hashOfList(c.news.relayList)
	c.news.fresh = true
}

// hashOfList identifies a list of addresses; 0 for an empty one.
func hashOfList(addresses []string) uint64 {
	if len(addresses) == 0 {
		return 0
	}
	return xxhash.Sum64String(strings.Join(addresses, ","))
}

// relayCount returns how many relays were heard of lately; 0 while it is not known.
func (c *Core) relayCount() uint32 {
	if c.now-c.leadingSince < relayCountAfter {
		return 0
	}
	return uint32(len(c.relays))
}

// forgetRelays forgets relays that have not been heard of for long. Call it now and then.
func (c *Core) forgetRelays() {
	for name, record := range c.relays {
		if c.now-record.heardAt > relayMemory {
			delete(c.relays, name)
			c.news.fresh = false
		}
	}
}

// noticeAddresses returns where relays take load notices, sorted.
func (c *Core) noticeAddresses() []string {
	var addresses []string
	for _, record := range c.relays {
		if record.noticeAddress != "" {
			addresses = append(addresses, record.noticeAddress)
		}
	}
	slices.Sort(addresses)
	return addresses
}
