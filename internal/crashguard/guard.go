package crashguard

import (
	"context"
	"sync"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

// Leader makes calls to the controller that leads. Errors mean that the call may have had no effect.
type Leader interface {
	// ReportReplicaEnds tells of ends, and returns the signatures among them that are held now.
	ReportReplicaEnds(ctx context.Context, ends []*v1.ReplicaEnd) (held [][]byte, err error)
	// BeginTrial asks for the right to run a held request once.
	BeginTrial(ctx context.Context, signature []byte) (granted bool, err error)
	// ReleaseRequest tells that a held request has run well.
	ReleaseRequest(ctx context.Context, signature []byte) error
}

// Replica is one start of a back end.
type Replica struct {
	// ID is what only this start has, Name what all starts of the replica share; empty where that is ID.
	ID, Name string
	// Address is IP:port.
	Address string
}

// Options are what a Guard works with.
type Options struct {
	Leader Leader
	// Now is a steady clock.
	Now func() time.Duration
	// Probe looks whether a back end takes connections.
	Probe func(ctx context.Context, replica Replica) ProbeResult
	// Observer is told what the guard finds.
	Observer Observer
}

// Observer is told what a Guard finds, for logs and metrics.
type Observer interface {
	// ReplicaCrashed: a back end ended while it ran so many requests of this node.
	ReplicaCrashed(replica string, requests int)
	// RequestQuarantined: this node has learnt that a request is held.
	RequestQuarantined(signature quarantine.Signature)
	// LeaderCallFailed: a call to the leader has to be made again, or was given up.
	LeaderCallFailed(err error)
}

const (
	// probeTimeout ends a look at whether a back end still serves.
	probeTimeout = 300 * time.Millisecond
	// aliveFor is how long a back end that was seen to serve is not looked at again.
	aliveFor = 200 * time.Millisecond
	// breakMemory is how long a broken run is remembered: that its back end has ended may be seen
	// later than that the connection broke.
	breakMemory = 5 * time.Second
	// localHold is how long a request is held that this node, and no controller, holds back.
	localHold = time.Minute
	// wellMemory is how long a good run tells that a request does not end its back ends.
	wellMemory = time.Minute
	// mostRemembered bounds the requests that are remembered of each kind.
	mostRemembered = 1024
)

// Guard holds back requests that end back ends.
type Guard struct {
	options Options
	// wake tells Run that there is something to tell the leader.
	wake chan struct{}

	mutex sync.Mutex
	// told are the requests that the controllers hold, with whether a trial is due.
	told    map[quarantine.Signature]bool
	version uint64
	// silentSince is when a controller answered first, since these were told, that says nothing of held requests; it
	// holds while silent is set.
	silent      bool
	silentSince time.Duration
	// local are the requests that this node holds, with when that ends.
	local *recent[time.Duration]
	// ended are the back ends that this node saw end under a request.
	ended *recent[map[uint64]bool]
	// well are the requests that ran to a good end, with when.
	well *recent[time.Duration]
	// looks are the back ends at which runs broke lately, by identity.
	looks map[string]*look
	// unreported and unreleased wait to be told to the leader.
	unreported []*report
	unreleased []quarantine.Signature
}

// New returns a Guard that knows of nothing.
func New(options Options) *Guard {
	return &Guard{
		options: options, wake: make(chan struct{}, 1),
		told: map[quarantine.Signature]bool{}, looks: map[string]*look{},
		local: newRecent[time.Duration](mostRemembered), ended: newRecent[map[uint64]bool](mostRemembered),
		well: newRecent[time.Duration](mostRemembered),
	}
}

// QuarantineVersion is the version of the held requests that the controllers told last.
func (g *Guard) QuarantineVersion() uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.version
}

// ApplyQuarantine takes the held requests as the controllers told them.
func (g *Guard) ApplyQuarantine(version uint64, held []*v1.HeldRequest) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.silent = false
	if version == g.version {
		return
	}
	told := make(map[quarantine.Signature]bool, len(held))
	for _, request := range held {
		signature, valid := quarantine.SignatureFromBytes(request.GetSignature())
		if !valid {
			continue
		}
		if _, known := g.told[signature]; !known {
			g.options.Observer.RequestQuarantined(signature)
		}
		told[signature] = request.GetTrialDue()
		g.local.remove(signature) // from now on the controllers say when it ends
	}
	g.told, g.version = told, version
}

// MarkQuarantineUnsupported takes that the controllers say nothing of held requests: the leader's build knows of none. What was told
// before holds for as long as what this node holds by itself, and nobody grants trials meanwhile.
func (g *Guard) MarkQuarantineUnsupported() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.silent {
		return
	}
	g.silent, g.silentSince = true, g.options.Now()
}

// QuarantinedCount is how many requests the controllers hold.
func (g *Guard) QuarantinedCount() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.told)
}

// IsQuarantined reports whether a request must not be sent to any back end.
func (g *Guard) IsQuarantined(signature quarantine.Signature) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.isHeld(signature)
}

func (g *Guard) isHeld(signature quarantine.Signature) bool {
	if _, told := g.told[signature]; told && !(g.silent && g.options.Now()-g.silentSince >= localHold) {
		return true
	}
	until, held := g.local.get(signature)
	return held && g.options.Now() < until
}

// Admit says whether a request may run. It asks the leader where a trial may be granted.
func (g *Guard) Admit(ctx context.Context, signature quarantine.Signature) Admission {
	g.mutex.Lock()
	held, due := g.isHeld(signature), g.told[signature]
	if due {
		g.told[signature] = false // one question is enough: the controllers tell of the next trial
	}
	g.mutex.Unlock()
	switch {
	case !held:
		return Allowed
	case !due:
		return Quarantined
	}
	limited, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	granted, err := g.options.Leader.BeginTrial(limited, signature[:])
	if err != nil {
		g.options.Observer.LeaderCallFailed(err)
	}
	if !granted {
		return Quarantined
	}
	return Trial
}

// trialTimeout ends the wait for a trial; it is asked for again once the controllers tell of it anew.
const trialTimeout = 500 * time.Millisecond

// RecordSuccess notes that a back end has run a request to a good end.
func (g *Guard) RecordSuccess(signature quarantine.Signature) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.well.put(signature, g.options.Now())
	g.ended.remove(signature)
	if !g.isHeld(signature) {
		return
	}
	g.local.remove(signature)
	delete(g.told, signature)
	g.unreleased = append(g.unreleased, signature)
	g.wakeRun()
}

// ranWellLately reports whether a request is known to do back ends no harm.
func (g *Guard) ranWellLately(signature quarantine.Signature) bool {
	at, known := g.well.get(signature)
	return known && g.options.Now()-at < wellMemory
}

func (g *Guard) wakeRun() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
