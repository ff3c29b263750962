// Package fault holds the faults that the bench's stand-ins can be told to show,
// by their settings or by PUT /bench/faults. A Set is safe for concurrent use.
package fault

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Kind names one way to fail.
type Kind string

// Kinds of faults. Each stand-in documents those it shows.
const (
	// Refuse answers 503 before the request runs, as not run.
	Refuse Kind = "refuse"
	// Error runs the request and answers 500, as may have run.
	Error Kind = "error"
	// LoseAnswer runs the request and closes the connection without an answer.
	LoseAnswer Kind = "lose-answer"
	// Cut closes the connection after Tokens tokens of the answer.
	Cut Kind = "cut"
	// Truncate ends the answer in good order after Tokens tokens, without its end.
	Truncate Kind = "truncate"
	// EarlyDone ends the answer after Tokens tokens with the mark of a whole one.
	EarlyDone Kind = "early-done"
	// Stall stops the answer after Tokens tokens and leaves the connection open.
	Stall Kind = "stall"
	// Late holds the answer back for Delay.
	Late Kind = "late"
	// Crossed mixes events of another exchange into the answer.
	Crossed Kind = "crossed"
	// WrongEcho answers with another exchange's identity; a page service answers with
	// another request's answer too.
	WrongEcho Kind = "wrong-echo"
	// Duplicate sends each event twice.
	Duplicate Kind = "duplicate"
	// Skip leaves one token's event out.
	Skip Kind = "skip"
	// FailExport answers 500 when another engine fetches a KV cache.
	FailExport Kind = "fail-export"
	// LoseHandle forgets a KV cache as soon as its handle has been given out.
	LoseHandle Kind = "lose-handle"
	// ForeignHandle binds a KV cache to another cache salt than the request's.
	ForeignHandle Kind = "foreign-handle"
	// CrashInChange kills the engine in the middle of an order's change, for Delay.
	CrashInChange Kind = "crash-in-change"
	// LoseOrderAnswer carries an order out and closes the connection without an answer.
	LoseOrderAnswer Kind = "lose-order-answer"
	// LoadLag makes load reports older by Delay.
	LoadLag Kind = "load-lag"
	// CacheEventLag makes cache events later by Delay.
	CacheEventLag Kind = "cache-event-lag"
	// CacheEventGap loses every cache event whose number divides by Tokens.
	CacheEventGap Kind = "cache-event-gap"
)

// kinds are all kinds, for checks.
var kinds = []Kind{
	Refuse, Error, LoseAnswer, Cut, Truncate, EarlyDone, Stall, Late, Crossed, WrongEcho, Duplicate, Skip, FailExport,
	LoseHandle, ForeignHandle, CrashInChange, LoseOrderAnswer, LoadLag, CacheEventLag, CacheEventGap,
}

// check returns an error that names what is wrong with a fault.
func (f Fault) check() error {
	if slices.Contains(kinds, f.Kind) {
		return nil
	}
	words := make([]string, len(kinds))
	for index, kind := range kinds {
		words[index] = string(kind)
	}
	return trace.BadParameter("kind %q is not known; write one of %s", f.Kind, strings.Join(words, ", "))
}

// Always is the Count of a fault that stays until it is cleared.
const Always = -1

// Fault is one fault switched on.
type Fault struct {
	Kind Kind `json:"kind" yaml:"kind" check:"required,one-of=refuse|error|lose-answer|cut|truncate|early-done|stall|late|crossed|wrong-echo|duplicate|skip|fail-export|lose-handle|foreign-handle|crash-in-change|lose-order-answer|load-lag|cache-event-lag|cache-event-gap"`
	// Count is how many requests it meets; Always for all of them. 0 is none.
	Count int `json:"count" yaml:"count" check:"required"`
	// Tokens is where in an answer it strikes, for the kinds that say so.
	Tokens int `json:"tokens,omitempty" yaml:"tokens"`
	// DelayMs is how long it lasts, for the kinds that say so.
	DelayMs int64 `json:"delay_ms,omitempty" yaml:"delay_ms"`
}

// Delay is DelayMs as a duration.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMs) * time.Millisecond }

// Set is the faults of one stand-in.
type Set struct {
	mutex  sync.Mutex
	faults map[Kind]Fault
	struck map[Kind]int
}

// NewSet returns a Set with faults switched on.
func NewSet(faults ...Fault) *Set {
	set := &Set{}
	set.Replace(faults)
	return set
}

// Replace switches on exactly these faults.
func (s *Set) Replace(faults []Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = make(map[Kind]Fault, len(faults))
	for _, fault := range faults {
		s.faults[fault.Kind] = fault
	}
}

// Strike reports whether a fault strikes now, and counts it.
func (s *Set) Strike(kind Kind) (Fault, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fault, found := s.faults[kind]
	if !found || fault.Count == 0 {
		return Fault{}, false
	}
	if fault.Count > 0 {
		fault.Count--
		s.faults[kind] = fault
	}
	if s.struck == nil {
		s.struck = make(map[Kind]int)
	}
	s.struck[kind]++
	return fault, true
}

// StrikeCounts returns how often each fault has struck.
func (s *Set) StrikeCounts() map[Kind]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.struck)
}

// Peek returns a fault without counting it.
func (s *Set) Peek(kind Kind) (Fault, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fault, found := s.faults[kind]
	return fault, found && fault.Count != 0
}

// Remaining returns the faults that can still strike.
func (s *Set) Remaining() []Fault {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	left := make([]Fault, 0, len(s.faults))
	for _, fault := range s.faults {
		if fault.Count != 0 {
			left = append(left, fault)
		}
	}
	return left
}
