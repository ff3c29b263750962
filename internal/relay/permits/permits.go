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
	// unkeptWait is how long a back end is not asked for again for which nobody who keeps its count answers.
	unkeptWait = 250 * time.Millisecond
	// noticeInterval is the time between two notices of the same limits.
	noticeInterval = time.Second
	// noticePace is how many relays are told in noticePause at most: 25 kB a second of notices of one limit.
	noticePace  = 100
	noticePause = 250 * time.Millisecond
	// noticeLimits is how many limits one datagram tells of; each takes 22 bytes at most.
	noticeLimits = 48
	// askerMemory is how long a relay that has asked is told of limits though it is not listed.
	askerMemory = 30 * time.Second
)

// Config is what permits depend on.
type Config struct {
	Socket *datagram.Socket
	// Self identifies this start of the relay.
	Self uint64
	// Now is the relay's clock, Draw returns a random number in [0, 1).
	Now  func() time.Duration
	Draw func() float64
	// Fresh reports whether the list of relays is not old.
	Fresh func() bool
	// Told is called with a limit as another relay knows it.
	Told func(fleetlimit.BackEndLimit)
	// Peers is which relays answer.
	Peers *peerhealth.Table
}

// Permits asks for permits, and grants them where this relay keeps the count. It is safe for concurrent use.
type Permits struct {
	config    Config
	questions *datagram.Questions[*v1.LimitAnswer]
	// changed tells that there is something new for other relays.
	changed chan struct{}

	mutex  sync.Mutex
	member *fleetlimit.Member
	relays []string
	// askers are relays that have asked this one, and when.
	askers map[string]time.Duration
}

// New returns permits of a relay that knows of no others.
func New(config Config) *Permits {
	return &Permits{
		config: config, questions: datagram.NewQuestions[*v1.LimitAnswer](config.Socket), changed: make(chan struct{}, 1),
		member: fleetlimit.NewMember(config.Socket.Address), askers: map[string]time.Duration{},
	}
}

// SetRelays takes the addresses of the relays among which counts are spread.
func (p *Permits) SetRelays(addresses []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if slices.Equal(p.relays, addresses) {
		return
	}
	p.relays = addresses
	p.member.SetProcesses(p.config.Now(), addresses)
}

// Take asks those that keep a back end's count for a permit, one after another until one answers. Where it reports that
// none does there is no permit: what relays send by themselves would add up.
func (p *Permits) Take(ask fleetlimit.PermitRequest) (answer fleetlimit.PermitResponse, answered bool) {
	ask.RequesterID = p.config.Self
	for _, keeper := range p.KeepersOf(ask.BackEnd) {
		if answer, answered = p.askKeeper(keeper, ask); answered {
			return answer, true
		}
	}
	return fleetlimit.PermitResponse{Wait: time.Duration((0.5 + p.config.Draw()) * float64(unkeptWait))}, false
}

// KeepersOf returns the addresses of the relays that keep the count of a back end, in the order in which they are asked.
func (p *Permits) KeepersOf(backEnd uint64) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.member.OwnersOf(backEnd)
}

// askKeeper asks one relay, which may be this one; false when it does not answer or does not keep the count.
func (p *Permits) askKeeper(keeper string, ask fleetlimit.PermitRequest) (fleetlimit.PermitResponse, bool) {
	if keeper == p.config.Socket.Address {
		return p.grant(ask)
	}
	asked := p.config.Now()
	if !p.config.Peers.Trusted(asked, keeper) {
		return fleetlimit.PermitResponse{}, false
	}
	number, answers := p.questions.Begin()
	defer p.questions.End(number)
	p.config.Socket.Send(keeper, &v1.RelayDatagram{Content: &v1.RelayDatagram_LimitAsk{LimitAsk: askToWire(ask, number)}})
	timer := time.NewTimer(p.config.Peers.Timeout())
	defer timer.Stop()
	select {
	case told := <-answers:
		p.config.Peers.Judge(p.config.Now(), keeper, true, p.config.Now()-asked)
		return answerFromWire(told)
	case <-timer.C:
		p.config.Peers.Judge(p.config.Now(), keeper, false, p.config.Now()-asked)
		return fleetlimit.PermitResponse{}, false
	}
}

// grant answers a question where this relay keeps the count.
func (p *Permits) grant(ask fleetlimit.PermitRequest) (fleetlimit.PermitResponse, bool) {
	fresh, draw := p.config.Fresh(), p.config.Draw()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.member.HandleRequest(p.config.Now(), ask, fresh, draw)
}

// Answer answers another relay's question.
func (p *Permits) Answer(asked *v1.LimitAsk, from string) {
	ask, valid := askFromWire(asked)
	if !valid {
		p.config.Socket.Drop(datagram.Garbled)
		return
	}
	answer, kept := p.grant(ask)
	p.mutex.Lock()
	p.askers[from] = p.config.Now()
	p.mutex.Unlock()
	p.config.Socket.Send(from, &v1.RelayDatagram{Content: &v1.RelayDatagram_LimitAnswer{LimitAnswer: answerToWire(asked, answer, kept)}})
}

// TakeAnswer hands an answer to the question that waits for it.
func (p *Permits) TakeAnswer(told *v1.LimitAnswer) {
	p.questions.Take(told.GetNumber(), told.GetRelay() == p.config.Self, told)
}

// Heard takes what a back end has named to this relay, and tells those that keep its count.
func (p *Permits) Heard(named fleetlimit.BackEndLimit) {
	notice := &v1.RelayDatagram{Content: &v1.RelayDatagram_LimitNotice{LimitNotice: &v1.LimitNotice{
		Limits: []*v1.NamedLimit{fleetlimit.ToWire(named)}, Heard: true,
	}}}
	for _, keeper := range p.KeepersOf(named.BackEnd) {
		if keeper == p.config.Socket.Address {
			p.name(named)
		} else {
			p.config.Socket.Send(keeper, notice)
		}
	}
}

// name takes a limit whose count may be this relay's to keep.
func (p *Permits) name(named fleetlimit.BackEndLimit) {
	p.mutex.Lock()
	news := p.member.SetLimit(p.config.Now(), named)
	p.mutex.Unlock()
	if news {
		select {
		case p.changed <- struct{}{}:
		default: // it waits to be told already
		}
	}
}

// TakeNotice takes another relay's word on limits.
func (p *Permits) TakeNotice(notice *v1.LimitNotice, from string) {
	for _, told := range notice.GetLimits() {
		named, valid := fleetlimit.FromWire(told)
		switch {
		case !valid:
			p.config.Socket.Drop(datagram.Garbled)
		case notice.GetHeard():
			p.name(named)
		default:
			p.mutex.Lock()
			p.member.ApplyNotice(p.config.Now(), from, named)
			p.mutex.Unlock()
			p.config.Told(named)
		}
	}
}

// Limits returns the limits whose counts are this relay's to keep, and those that were lifted lately.
func (p *Permits) Limits() []fleetlimit.BackEndLimit {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.member.Notices(p.config.Now())
}
