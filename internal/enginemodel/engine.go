package enginemodel

import (
	"sort"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Engine is one engine in virtual time. It belongs to one goroutine.
type Engine struct {
	profile Profile
	role    enginecontract.Role
	// tokenEvents asks for an event for each token; without it only the first
	// token and the end are told, which the experiments need to be fast.
	tokenEvents bool

	now    time.Duration
	events []Event

	waiting   []*sequence // by priority, then arrival
	reading   []*sequence // prompts being read, oldest first
	importing []*sequence
	writing   []*sequence
	byID      map[string]*sequence

	stepping    bool
	stepEnd     time.Duration
	stepReads   []read
	stepWriters int // the first stepWriters of writing take part in the step

	linkFree   time.Duration
	memoryUsed int64
	cache      *prefixCache
	totals     Load
}

// read is one prompt's part in a step.
type read struct {
	sequence *sequence
	tokens   int
}

// Option changes how an Engine reports.
type Option func(*Engine)

// WithTokenEvents asks for an event for each start and for each token written.
func WithTokenEvents() Option { return func(e *Engine) { e.tokenEvents = true } }

// New returns an empty engine in a role. It fails when the profile is unusable.
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

// Role is the engine's present role.
func (e *Engine) Role() enginecontract.Role { return e.role }

// Profile is what the engine was made with.
func (e *Engine) Profile() Profile { return e.profile }

// Empty reports whether the engine holds no sequence.
func (e *Engine) Empty() bool { return len(e.byID) == 0 }

// SetRole changes the role of an empty engine; the prefix cache is lost. The time
// the change takes is the caller's to wait (Profile.RoleChange).
func (e *Engine) SetRole(now time.Duration, role enginecontract.Role) error {
	e.run(now)
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

// Accepts reports whether an engine in a role does a phase: prefill engines only
// read prompts; decode engines read a prompt themselves, slowly, when they must.
func Accepts(role enginecontract.Role, phase Phase) bool {
	if role == enginecontract.RolePrefill {
		return phase == PhasePrefillOnly
	}
	if role == enginecontract.RoleDecode {
		return phase != PhasePrefillOnly
	}
	return true
}

// Submit puts a request in the waiting line. An error means that it will not run.
func (e *Engine) Submit(now time.Duration, request Request) error {
	e.run(now)
	if err := e.check(request); err != nil {
		return err
	}
	added := &sequence{Request: request, written: request.AlreadyDelivered}
	if added.memory() > e.profile.KVCapacityTokens {
		return ErrTooLarge
	}
	e.byID[request.ID] = added
	place := sort.Search(len(e.waiting), func(index int) bool {
		return e.waiting[index].Priority < request.Priority
	})
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[place+1:], e.waiting[place:])
	e.waiting[place] = added
	if !e.stepping {
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

// Cancel removes a sequence and reports whether it was there. Its events end.
func (e *Engine) Cancel(now time.Duration, id string) bool {
	e.run(now)
	gone := e.byID[id]
	if gone == nil {
		return false
	}
	delete(e.byID, id)
	if list, found := without(e.waiting, gone); found {
		e.waiting = list
		return true
	}
	e.memoryUsed -= gone.memory()
	e.reading, _ = without(e.reading, gone)
	e.importing, _ = without(e.importing, gone)
	for index, writer := range e.writing {
		if writer == gone && index < e.stepWriters {
			e.stepWriters--
		}
	}
	e.writing, _ = without(e.writing, gone)
	for index := range e.stepReads {
		if e.stepReads[index].sequence == gone {
			e.stepReads[index].sequence = nil
		}
	}
	return true
}

func without(list []*sequence, gone *sequence) ([]*sequence, bool) {
	for index, present := range list {
		if present == gone {
			return append(list[:index], list[index+1:]...), true
		}
	}
	return list, false
}

// Advance moves time to now and returns what happened since the last call, in
// order of time.
func (e *Engine) Advance(now time.Duration) []Event {
	e.run(now)
	events := e.events
	e.events = nil
	return events
}

// NextEvent returns the time of the next step's end, when Advance may have more to
// tell; false when the engine is idle. Events already due are told at once.
func (e *Engine) NextEvent() (time.Duration, bool) {
	switch {
	case len(e.events) > 0:
		return e.now, true
	case e.stepping:
		return e.stepEnd, true
	}
	return e.nextImport()
}

// TakeCacheEvents returns the prefix cache's events since the last call.
func (e *Engine) TakeCacheEvents() []CacheEvent { return e.cache.takeEvents() }

// CachedTokens tells how many leading tokens of a prompt the prefix cache holds.
func (e *Engine) CachedTokens(blocks []uint64) int {
	return e.cache.match(blocks) * e.profile.BlockTokens
}

// Load is the engine's present load.
func (e *Engine) Load() Load {
	load := e.totals
	load.Running = len(e.byID) - len(e.waiting)
	load.Waiting = len(e.waiting)
	for _, waiting := range e.waiting {
		load.WaitingPromptTokens += int64(waiting.PromptTokens)
	}
	for _, list := range [][]*sequence{e.reading, e.importing, e.writing} {
		for _, running := range list {
			if running.Phase != PhasePrefillOnly {
				load.RunningOutputTokens += int64(running.left())
			}
		}
	}
	load.KVCacheUsed = float64(e.memoryUsed) / float64(e.profile.KVCapacityTokens)
	return load
}
