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
	// ReportReplicaEnds reports crashes by requests and by parts of prompts, and returns the requests that are quarantined now.
	ReportReplicaEnds(ctx context.Context, ends, partEnds []*v1.ReplicaEnd) (quarantined [][]byte, err error)
	// BeginTrial requests the right to run a quarantined request, or one with a quarantined part, once.
	BeginTrial(ctx context.Context, signature []byte) (granted bool, err error)
	// ReleaseRequest reports that a quarantined request, or one with a suspect part, has succeeded.
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
	// RequestQuarantined: a request, or a part of prompts, became quarantined at this node.
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
	// parts is what is known of parts of prompts.
	parts suspectParts
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
	// unreported are the crash reports, and unreleased the succeeded requests and parts, that wait to be sent to the leader.
	unreported []*report
	unreleased []quarantine.Signature
	// isLeaderSilent is true if the leader has not answered the last report of crashes.
	isLeaderSilent bool
	// isSending is true while Run sends reports, which are then in neither list.
	isSending bool
}

// New returns a Guard without quarantined requests.
func New(options Options) *Guard {
	return &Guard{
		options: options, wake: make(chan struct{}, 1),
		quarantined: map[quarantine.Signature]bool{}, replicas: map[string]*replicaState{},
		localQuarantine: newBoundedMap[time.Duration](maximumEntries), crashes: newBoundedMap[map[uint64]bool](maximumEntries),
		successes: newBoundedMap[time.Duration](maximumEntries), parts: newSuspectParts(),
	}
}

// QuarantineVersion returns the version of the list of quarantined requests last received from the controllers.
func (g *Guard) QuarantineVersion() uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.version
}

// ApplyQuarantine applies a statement received from the controllers.
func (g *Guard) ApplyQuarantine(statement Statement) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.isUnsupported = false
	g.recordPartSupport(statement.TellsParts)
	if statement.Version == g.version {
		return
	}
	g.applySuspectParts(statement)
	updated := make(map[quarantine.Signature]bool, len(statement.Requests))
	for _, request := range statement.Requests {
		signature, valid := quarantine.SignatureFromBytes(request.GetSignature())
		if !valid || signature.IsPart() { // a leader of a former build lists parts as if they were requests
			continue
		}
		if _, wasListed := g.quarantined[signature]; !wasListed {
			g.options.Observer.RequestQuarantined(signature)
		}
		updated[signature] = request.GetTrialDue()
		g.localQuarantine.remove(signature) // from now on the controllers decide when it ends
	}
	g.quarantined, g.version = updated, statement.Version
}

// MarkQuarantineUnsupported records that the controllers send no list of quarantined requests because the leader's version
// does not support it. The last list remains valid for localQuarantineTime; no trials are granted during that time.
func (g *Guard) MarkQuarantineUnsupported() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.recordPartSupport(false)
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
func (g *Guard) IsQuarantined(content quarantine.Content) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.quarantinedOf(content)) > 0
}

// quarantinedOf returns the signatures of a request's content that are quarantined. The mutex must be held.
func (g *Guard) quarantinedOf(content quarantine.Content) []quarantine.Signature {
	var quarantined []quarantine.Signature
	if g.isQuarantinedLocked(content.Request) {
		quarantined = append(quarantined, content.Request)
	}
	for _, part := range content.Parts {
		if g.isPartQuarantined(part) {
			quarantined = append(quarantined, part)
		}
	}
	return quarantined
}

func (g *Guard) isQuarantinedLocked(signature quarantine.Signature) bool {
	if _, isListed := g.quarantined[signature]; isListed && !(g.isUnsupported && g.options.Now()-g.unsupportedSince >= localQuarantineTime) {
		return true
	}
	until, isLocal := g.localQuarantine.get(signature)
	return isLocal && g.options.Now() < until
}

// Admit decides whether a request may run. If trials of all that is quarantined of it are due, it blocks on calls to the leader for
// up to trialTimeout.
func (g *Guard) Admit(ctx context.Context, content quarantine.Content) Admission {
	g.mutex.Lock()
	quarantined := g.quarantinedOf(content)
	due := g.takeDueTrials(quarantined)
	g.mutex.Unlock()
	switch {
	case len(quarantined) == 0:
		return Allowed
	case !due:
		return Quarantined
	}
	limited, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	for _, signature := range quarantined {
		granted, err := g.options.Leader.BeginTrial(limited, signature[:])
		if err != nil {
			g.options.Observer.LeaderCallFailed(err)
		}
		if !granted {
			return Quarantined
		}
	}
	return Trial
}

// takeDueTrials reports whether trials of all the quarantined signatures may be requested. Each trial is requested only once; the
// controllers announce the next one. The mutex must be held.
func (g *Guard) takeDueTrials(quarantined []quarantine.Signature) bool {
	for _, signature := range quarantined {
		if !g.isTrialDue(signature, len(quarantined) > 1) {
			return false
		}
	}
	for _, signature := range quarantined {
		if signature.IsPart() {
			g.parts.takeTrial(signature)
		} else {
			g.quarantined[signature] = false
		}
	}
	return true
}

// isTrialDue reports whether the controllers would grant a trial. isShared is true if the request would be a trial of more than one
// signature. The mutex must be held.
func (g *Guard) isTrialDue(signature quarantine.Signature, isShared bool) bool {
	if signature.IsPart() {
		return g.parts.isTrialDue(g.options.Now(), signature, isShared)
	}
	return g.quarantined[signature]
}

// trialTimeout limits the wait for the leader to grant a trial. Afterwards the trial is requested again only once the
// controllers announce it again.
const trialTimeout = 500 * time.Millisecond

// RecordSuccess records that a back end has completed a request. If the request is quarantined, its quarantine ends here
// and the leader is asked to end it everywhere; so it is for the parts of its prompt, also if they are only suspected.
func (g *Guard) RecordSuccess(content quarantine.Content) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.options.Now()
	g.successes.set(content.Request, now)
	g.crashes.remove(content.Request)
	released := g.parts.recordSoundRun(now, content.Parts)
	if g.isQuarantinedLocked(content.Request) {
		g.localQuarantine.remove(content.Request)
		delete(g.quarantined, content.Request)
		released = append(released, content.Request)
	}
	g.release(released)
}

// release queues a report to the leader of requests and parts that have succeeded. The mutex must be held.
func (g *Guard) release(signatures []quarantine.Signature) {
	if len(signatures) == 0 {
		return
	}
	g.unreleased = append(g.unreleased, signatures...)
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
