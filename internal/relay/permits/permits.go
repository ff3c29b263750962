package permits

import (
	"slices"
	"sync"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/fleetlimit"
	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
	"github.com/hazelpitch/hazelpitch/internal/relay/peerhealth"
)

const (
	// noOwnerBackoff is the mean delay before the next permit request for a limit of which no owner answered.
	noOwnerBackoff = 250 * time.Millisecond
	// noticeInterval is the time between two notices of the same limits.
	noticeInterval = time.Second
	// noticeBatchRelays is how many relays are sent notices per noticeBatchPause; notices of one limit take 25 kB a second.
	noticeBatchRelays = 100
	noticeBatchPause  = 250 * time.Millisecond
	// limitsPerNotice is how many limits one datagram holds; each takes up to 22 bytes.
	limitsPerNotice = 48
	// requesterRetention is how long an unlisted relay is sent notices after its last permit request.
	requesterRetention = 30 * time.Second
)

// Config holds the dependencies of Permits.
type Config struct {
	Socket *datagram.Socket
	// Incarnation identifies this incarnation of the relay process.
	Incarnation uint64
	// Now returns the relay's clock; Draw returns a random number in [0, 1).
	Now  func() time.Duration
	Draw func() float64
	// IsRelayListFresh reports whether the list of relays is recent enough to grant permits by it.
	IsRelayListFresh func() bool
	// OnLimit is called with each limit that another relay announces.
	OnLimit func(fleetlimit.BackEndLimit)
	// Peers records which relays answer queries.
	Peers *peerhealth.Table
}

// Permits requests permits from the owners of limits, and grants permits for the limits that this relay owns. It is safe
// for concurrent use.
type Permits struct {
	config  Config
	queries *datagram.Queries[*v1.LimitAnswer]
	// limitsChanged holds a value when limits changed that are not announced to other relays yet.
	limitsChanged chan struct{}

	mutex  sync.Mutex
	member *fleetlimit.Member
	relays []string
	// requesters maps the addresses of relays that requested permits to the time of their last request.
	requesters map[string]time.Duration
}

// New returns the permits of a relay that has no list of relays yet.
func New(config Config) *Permits {
	return &Permits{
		config: config, queries: datagram.NewQueries[*v1.LimitAnswer](config.Socket), limitsChanged: make(chan struct{}, 1),
		member: fleetlimit.NewMember(config.Socket.Address), requesters: map[string]time.Duration{},
	}
}

// SetRelays sets the addresses of the relays among which the limits are distributed.
func (p *Permits) SetRelays(addresses []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if slices.Equal(p.relays, addresses) {
		return
	}
	p.relays = addresses
	p.member.SetProcesses(p.config.Now(), addresses)
}

// Request requests a permit from a limit's owner, and then from its deputies until one answers. answered is false when
// none of them does; the permit is then not granted, because requests that relays send on their own would add up beyond
// the limit. It blocks for up to one timeout per relay.
func (p *Permits) Request(request fleetlimit.PermitRequest) (answer fleetlimit.PermitResponse, answered bool) {
	request.RequesterID = p.config.Incarnation
	for _, owner := range p.OwnersOf(request.BackEnd) {
		if answer, answered = p.requestFrom(owner, request); answered {
			return answer, true
		}
	}
	return fleetlimit.PermitResponse{Wait: time.Duration((0.5 + p.config.Draw()) * float64(noOwnerBackoff))}, false
}

// OwnersOf returns the addresses of the relays that count the requests to a back end: the owner, then its deputies.
func (p *Permits) OwnersOf(backEnd uint64) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.member.OwnersOf(backEnd)
}

// requestFrom requests a permit from one relay, which may be this one. It returns false when that relay does not answer
// or does not own the limit.
func (p *Permits) requestFrom(owner string, request fleetlimit.PermitRequest) (fleetlimit.PermitResponse, bool) {
	if owner == p.config.Socket.Address {
		return p.grant(request)
	}
	sentAt := p.config.Now()
	if !p.config.Peers.Trusted(sentAt, owner) {
		return fleetlimit.PermitResponse{}, false
	}
	number, answers := p.queries.Open()
	defer p.queries.Close(number)
	p.config.Socket.Send(owner, &v1.RelayDatagram{Content: &v1.RelayDatagram_LimitAsk{LimitAsk: requestToWire(request, number)}})
	timer := time.NewTimer(p.config.Peers.Timeout())
	defer timer.Stop()
	select {
	case answer := <-answers:
		p.config.Peers.RecordQuery(p.config.Now(), owner, true, p.config.Now()-sentAt)
		return answerFromWire(answer)
	case <-timer.C:
		p.config.Peers.RecordQuery(p.config.Now(), owner, false, p.config.Now()-sentAt)
		return fleetlimit.PermitResponse{}, false
	}
}

// grant decides on a permit request for a limit that this relay owns. It returns false when another relay owns it.
func (p *Permits) grant(request fleetlimit.PermitRequest) (fleetlimit.PermitResponse, bool) {
	fresh, draw := p.config.IsRelayListFresh(), p.config.Draw()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.member.HandleRequest(p.config.Now(), request, fresh, draw)
}

// HandleRequest answers another relay's permit request.
func (p *Permits) HandleRequest(request *v1.LimitAsk, from string) {
	decoded, valid := requestFromWire(request)
	if !valid {
		p.config.Socket.CountDrop(datagram.Malformed)
		return
	}
	answer, isOwner := p.grant(decoded)
	p.mutex.Lock()
	p.requesters[from] = p.config.Now()
	p.mutex.Unlock()
	p.config.Socket.Send(from, &v1.RelayDatagram{Content: &v1.RelayDatagram_LimitAnswer{LimitAnswer: answerToWire(request, answer, isOwner)}})
}

// HandleAnswer delivers an answer to the permit request that waits for it.
func (p *Permits) HandleAnswer(answer *v1.LimitAnswer) {
	p.queries.Deliver(answer.GetNumber(), answer.GetRelay() == p.config.Incarnation, answer)
}

// ReportLimit sends a limit that a back end declared to this relay to the owner and deputies of that limit.
func (p *Permits) ReportLimit(backEndLimit fleetlimit.BackEndLimit) {
	notice := &v1.RelayDatagram{Content: &v1.RelayDatagram_LimitNotice{LimitNotice: &v1.LimitNotice{
		Limits: []*v1.NamedLimit{fleetlimit.ToWire(backEndLimit)}, Heard: true,
	}}}
	for _, owner := range p.OwnersOf(backEndLimit.BackEnd) {
		if owner == p.config.Socket.Address {
			p.recordLimit(backEndLimit)
		} else {
			p.config.Socket.Send(owner, notice)
		}
	}
}

// recordLimit records a limit of which this relay may be the owner, and triggers an announcement if the limit has changed.
func (p *Permits) recordLimit(backEndLimit fleetlimit.BackEndLimit) {
	p.mutex.Lock()
	isChanged := p.member.SetLimit(p.config.Now(), backEndLimit)
	p.mutex.Unlock()
	if isChanged {
		select {
		case p.limitsChanged <- struct{}{}:
		default: // an announcement is pending already
		}
	}
}

// HandleNotice applies another relay's notice: limits that it received from back ends, or limits that it owns.
func (p *Permits) HandleNotice(notice *v1.LimitNotice, from string) {
	for _, wireLimit := range notice.GetLimits() {
		backEndLimit, valid := fleetlimit.FromWire(wireLimit)
		switch {
		case !valid:
			p.config.Socket.CountDrop(datagram.Malformed)
		case notice.GetHeard():
			p.recordLimit(backEndLimit)
		default:
			p.mutex.Lock()
			p.member.ApplyNotice(p.config.Now(), from, backEndLimit)
			p.mutex.Unlock()
			p.config.OnLimit(backEndLimit)
		}
	}
}

// Limits returns the limits that this relay owns, including those that were lifted recently.
func (p *Permits) Limits() []fleetlimit.BackEndLimit {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.member.Notices(p.config.Now())
}
