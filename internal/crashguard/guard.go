package crashguard

import (
	"context"
	"sync"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

// Leader makes calls to the leader of the controllers. After an error the call may or may not have taken effect.
type Leader interface {
	// ReportReplicaEnds reports crashes and returns those of their signatures that are quarantined now.
	ReportReplicaEnds(ctx context.Context, ends []*v1.ReplicaEnd) (quarantined [][]byte, err error)
	// BeginTrial requests the right to run a quarantined request once.
	BeginTrial(ctx context.Context, signature []byte) (granted bool, err error)
	// ReleaseRequest reports that a quarantined request has succeeded.
	ReleaseRequest(ctx context.Context, signature []byte) error
}

// Replica is one incarnation of a back end.
type Replica struct {
	// ID identifies the incarnation. Name is common to all incarnations of the replica; empty if equal to ID.
	ID, Name string
	// Address is IP:port.
	Address string
}

// Options are the dependencies of a Guard.
type Options struct {
	Leader Leader
	// Now is a monotonic clock.
	Now func() time.Duration
	// Probe checks whether a back end accepts connections.
	Probe func(ctx context.Context, replica Replica) ProbeResult
	// Observer is notified of the guard's events.
	Observer Observer
}

// Observer is notified of the events of a Guard, for logs and metrics.
type Observer interface {
	// ReplicaCrashed: a back end crashed while it ran this number of requests of this node.
	ReplicaCrashed(replica string, requests int)
	// RequestQuarantined: a request became quarantined at this node.
	RequestQuarantined(signature quarantine.Signature)
	// LeaderCallFailed: a call to the leader failed; it will be retried or was abandoned.
	LeaderCallFailed(err error)
}

const (
	// probeTimeout limits one probe of a back end.
	probeTimeout = 300 * time.Millisecond
	// probeCacheTime is how long a back end that was found serving is not probed again.
	probeCacheTime = 200 * time.Millisecond
	// brokenRunRetention is how long a broken run, a run whose connection broke, is stored. The crash of its back end
	// may be detected later than the broken connection.
	brokenRunRetention = 5 * time.Second
	// localQuarantineTime is how long this node quarantines a request that no controller lists.
	localQuarantineTime = time.Minute
	// successRetention is how long a success proves that a request does not crash back ends.
	successRetention = time.Minute
	// maximumEntries limits the number of requests in localQuarantine, in crashes and in successes.
	maximumEntries = 1024
)

// Guard blocks quarantined requests and reports back-end crashes.
type Guard struct {
	options Options
	// wake signals Run that there is something to report to the leader.
	wake chan struct{}

	mutex sync.Mutex
	// quarantined are the requests that the controllers list; the value reports whether a trial is due.
	quarantined map[quarantine.Signature]bool
	version     uint64
	// unsupportedSince is when a controller without support for quarantine first answered after the last list of
	// quarantined requests was received; it is valid while isUnsupported is set.
	isUnsupported    bool
	unsupportedSince time.Duration
	// localQuarantine are the requests quarantined by this node, with the end of their quarantine.
	localQuarantine *boundedMap[time.Duration]
	// crashes are the hashes of the back ends that this node saw crash, by request.
	crashes *boundedMap[map[uint64]bool]
	// successes are the requests that have succeeded, with the time of the last success.
	successes *boundedMap[time.Duration]
	// replicas are the states of back ends with recently broken runs, by ID of the incarnation.
	replicas map[string]*replicaState
	// unreported are the crash reports, and unreleased the succeeded requests, that wait to be sent to the leader.
	unreported []*report
	unreleased []quarantine.Signature
	// isSending is true while Run sends reports, which are then in neither list.
	isSending bool
}

// New returns a Guard without quarantined requests.
func New(options Options) *Guard {
	return &Guard{
		options: options, wake: make(chan struct{}, 1),
		quarantined: map[quarantine.Signature]bool{}, replicas: map[string]*replicaState{},
		localQuarantine: newBoundedMap[time.Duration](maximumEntries), crashes: newBoundedMap[map[uint64]bool](maximumEntries),
		successes: newBoundedMap[time.Duration](maximumEntries),
	}
}

// QuarantineVersion returns the version of the list of quarantined requests last received from the controllers.
func (g *Guard) QuarantineVersion() uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.version
}

// ApplyQuarantine applies a list of quarantined requests received from the controllers.
func (g *Guard) ApplyQuarantine(version uint64, requests []*v1.HeldRequest) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.isUnsupported = false
	if version == g.version {
		return
	}
	updated := make(map[quarantine.Signature]bool, len(requests))
	for _, request := range requests {
		signature, valid := quarantine.SignatureFromBytes(request.GetSignature())
		if !valid {
			continue
		}
		if _, wasListed := g.quarantined[signature]; !wasListed {
			g.options.Observer.RequestQuarantined(signature)
		}
		updated[signature] = request.GetTrialDue()
		g.localQuarantine.remove(signature) // from now on the controllers decide when it ends
	}
	g.quarantined, g.version = updated, version
}

// MarkQuarantineUnsupported records that the controllers send no list of quarantined requests because the leader's version
// does not support it. The last list remains valid for localQuarantineTime; no trials are granted during that time.
func (g *Guard) MarkQuarantineUnsupported() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.isUnsupported {
		return
	}
	g.isUnsupported, g.unsupportedSince = true, g.options.Now()
}

// QuarantinedCount returns the number of requests that the controllers list as quarantined.
func (g *Guard) QuarantinedCount() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.quarantined)
}

// IsQuarantined reports whether a request must not be sent to any back end.
func (g *Guard) IsQuarantined(signature quarantine.Signature) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.isQuarantinedLocked(signature)
}

func (g *Guard) isQuarantinedLocked(signature quarantine.Signature) bool {
	if _, isListed := g.quarantined[signature]; isListed && !(g.isUnsupported && g.options.Now()-g.unsupportedSince >= localQuarantineTime) {
		return true
	}
	until, isLocal := g.localQuarantine.get(signature)
	return isLocal && g.options.Now() < until
}

// Admit decides whether a request may run. If a trial of the request is due, it blocks on a call to the leader for up to
// trialTimeout.
func (g *Guard) Admit(ctx context.Context, signature quarantine.Signature) Admission {
	g.mutex.Lock()
	quarantined, due := g.isQuarantinedLocked(signature), g.quarantined[signature]
	if due {
		g.quarantined[signature] = false // request the trial only once; the controllers announce the next one
	}
	g.mutex.Unlock()
	switch {
	case !quarantined:
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

// trialTimeout limits the wait for the leader to grant a trial. Afterwards the trial is requested again only once the
// controllers announce it again.
const trialTimeout = 500 * time.Millisecond

// RecordSuccess records that a back end has completed a request. If the request is quarantined, its quarantine ends here
// and the leader is asked to end it everywhere.
func (g *Guard) RecordSuccess(signature quarantine.Signature) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.successes.set(signature, g.options.Now())
	g.crashes.remove(signature)
	if !g.isQuarantinedLocked(signature) {
		return
	}
	g.localQuarantine.remove(signature)
	delete(g.quarantined, signature)
	g.unreleased = append(g.unreleased, signature)
	g.wakeRun()
}

// hasRecentSuccess reports whether a request has succeeded within successRetention, which proves that it does not crash
// back ends.
func (g *Guard) hasRecentSuccess(signature quarantine.Signature) bool {
	at, known := g.successes.get(signature)
	return known && g.options.Now()-at < successRetention
}

func (g *Guard) wakeRun() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
