package enginemodel

import (
	"sort"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Engine is one engine in virtual time. Only one goroutine may use it.
type Engine struct {
	profile Profile
	role    enginecontract.Role
	// tokenEvents enables an event for each start and token. Without it only the first token and the end are reported,
	// which keeps experiments fast.
	tokenEvents bool

	now    time.Duration
	events []Event

	waiting    []*sequence // by priority, then arrival
	prefilling []*sequence // oldest first
	importing  []*sequence
	decoding   []*sequence
	byID       map[string]*sequence

	inStep       bool
	stepEnd      time.Duration
	stepPrefills []prefillChunk
	stepDecodes  int // the first stepDecodes sequences of decoding take part in the step

	linkFreeAt   time.Duration
	kvTokensUsed int64
	cache        *prefixCache
	totals       Load
}

// prefillChunk is the number of tokens of one prompt that a step prefills.
type prefillChunk struct {
	sequence *sequence
	tokens   int
}

// Option changes which events an Engine reports.
type Option func(*Engine)

// WithTokenEvents enables an event for each start and for each generated token.
func WithTokenEvents() Option { return func(e *Engine) { e.tokenEvents = true } }

// New returns an empty engine in a role. It returns an error for an invalid profile or role.
func New(profile Profile, role enginecontract.Role, options ...Option) (*Engine, error) {
	if err := profile.Check(); err != nil {
		return nil, trace.Wrap(err)
	}
	if profile.PrefillChunk[role] == 0 {
		return nil, trace.BadParameter("role %q is not one of prefill, decode, mixed", role)
	}
	engine := &Engine{
		profile: profile,
		role:    role,
		byID:    make(map[string]*sequence),
		cache:   newPrefixCache(profile.PrefixCacheBlocks),
	}
	for _, option := range options {
		option(engine)
	}
	return engine, nil
}

// Role returns the engine's current role.
func (e *Engine) Role() enginecontract.Role { return e.role }

// Profile returns the profile with which the engine was created.
func (e *Engine) Profile() Profile { return e.profile }

// Empty reports whether the engine has no waiting or running sequence.
func (e *Engine) Empty() bool { return len(e.byID) == 0 }

// SetRole changes the role of an empty engine and drops the prefix cache. It takes no time:
// the caller has to simulate Profile.RoleChange.
func (e *Engine) SetRole(now time.Duration, role enginecontract.Role) error {
	e.advance(now)
	if !e.Empty() {
		return trace.BadParameter("engine holds %d sequences: drain it before a role change", len(e.byID))
	}
	if e.profile.PrefillChunk[role] == 0 {
		return trace.BadParameter("role %q is not one of prefill, decode, mixed", role)
	}
	e.role = role
	e.DropCache()
	return nil
}

// DropCache empties the prefix cache.
func (e *Engine) DropCache() {
	events := e.cache.takeEvents()
	if e.cache.blocks != nil {
		e.cache.blocks.Purge()
	}
	e.cache.events = append(events, e.cache.takeEvents()...)
}

// Accepts reports whether an engine in a role serves a phase. Prefill engines serve only
// prefills; decode engines also serve whole requests, whose prefill is slow there.
func Accepts(role enginecontract.Role, phase Phase) bool {
	if role == enginecontract.RolePrefill {
		return phase == PhasePrefillOnly
	}
	if role == enginecontract.RoleDecode {
		return phase != PhasePrefillOnly
	}
	return true
}

// Submit adds a request to the waiting queue. An error means that it will not run.
func (e *Engine) Submit(now time.Duration, request Request) error {
	e.advance(now)
	if err := e.check(request); err != nil {
		return err
	}
	added := &sequence{Request: request, generatedTokens: request.AlreadyDelivered}
	if added.kvTokens() > e.profile.KVCapacityTokens {
		return ErrTooLarge
	}
	e.byID[request.ID] = added
	position := sort.Search(len(e.waiting), func(index int) bool {
		return e.waiting[index].Priority < request.Priority
	})
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[position+1:], e.waiting[position:])
	e.waiting[position] = added
	if !e.inStep {
		e.startStep()
	}
	return nil
}

func (e *Engine) check(request Request) error {
	switch {
	case request.PromptTokens <= 0:
		return ErrRequest
	case request.Phase != PhasePrefillOnly && request.OutputTokens <= request.AlreadyDelivered:
		return ErrRequest
	case !Accepts(e.role, request.Phase):
		return ErrRole
	case e.byID[request.ID] != nil:
		return ErrDuplicate
	case e.profile.MaxWaiting > 0 && len(e.waiting) >= e.profile.MaxWaiting:
		return ErrQueueFull
	}
	return nil
}

// Cancel removes a sequence and reports whether it existed. No further events of the sequence are added.
func (e *Engine) Cancel(now time.Duration, id string) bool {
	e.advance(now)
	cancelled := e.byID[id]
	if cancelled == nil {
		return false
	}
	delete(e.byID, id)
	if list, found := removeSequence(e.waiting, cancelled); found {
		e.waiting = list
		return true
	}
	e.kvTokensUsed -= cancelled.kvTokens()
	e.prefilling, _ = removeSequence(e.prefilling, cancelled)
	e.importing, _ = removeSequence(e.importing, cancelled)
	for index, running := range e.decoding {
		if running == cancelled && index < e.stepDecodes {
			e.stepDecodes--
		}
	}
	e.decoding, _ = removeSequence(e.decoding, cancelled)
	for index := range e.stepPrefills {
		if e.stepPrefills[index].sequence == cancelled {
			e.stepPrefills[index].sequence = nil
		}
	}
	return true
}

func removeSequence(list []*sequence, target *sequence) ([]*sequence, bool) {
	for index, present := range list {
		if present == target {
			return append(list[:index], list[index+1:]...), true
		}
	}
	return list, false
}

// Advance moves time to now and returns the events since the last call, in
// order of time.
func (e *Engine) Advance(now time.Duration) []Event {
	e.advance(now)
	events := e.events
	e.events = nil
	return events
}

// NextEvent returns the time at which Advance may return further events: the current time if events are
// pending, or else the end of the current step or import. It reports false when the engine is idle.
func (e *Engine) NextEvent() (time.Duration, bool) {
	switch {
	case len(e.events) > 0:
		return e.now, true
	case e.inStep:
		return e.stepEnd, true
	}
	return e.nextImport()
}

// TakeCacheEvents returns the events of the prefix cache since the last call.
func (e *Engine) TakeCacheEvents() []CacheEvent { return e.cache.takeEvents() }

// CachedTokens returns the number of leading prompt tokens that are in the prefix cache.
func (e *Engine) CachedTokens(blocks []uint64) int {
	return e.cache.match(blocks) * e.profile.BlockTokens
}

// Load returns the engine's current load.
func (e *Engine) Load() Load {
	load := e.totals
	load.Running = len(e.byID) - len(e.waiting)
	load.Waiting = len(e.waiting)
	for _, waiting := range e.waiting {
		load.WaitingPromptTokens += int64(waiting.PromptTokens)
	}
	for _, list := range [][]*sequence{e.prefilling, e.importing, e.decoding} {
		for _, running := range list {
			if running.Phase != PhasePrefillOnly {
				load.RunningOutputTokens += int64(running.outputLeft())
			}
		}
	}
	load.KVCacheUsed = float64(e.kvTokensUsed) / float64(e.profile.KVCapacityTokens)
	return load
}
