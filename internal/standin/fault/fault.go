// Package fault defines the faults that stand-in engines and page services show when their
// configuration or a PUT of /bench/faults sets them. A Set is safe for concurrent use.
package fault

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Kind names one way in which a stand-in fails.
type Kind string

// Kinds of faults. Each stand-in documents the kinds that it supports.
const (
	// Refuse answers 503 before the request runs, with the run state not run.
	Refuse Kind = "refuse"
	// Error runs the request and answers 500, with the run state may have run.
	Error Kind = "error"
	// LoseAnswer runs the request and closes the connection without an answer.
	LoseAnswer Kind = "lose-answer"
	// Cut closes the connection after Tokens tokens of the answer.
	Cut Kind = "cut"
	// Truncate ends the answer after Tokens tokens without an error and without its end marker.
	Truncate Kind = "truncate"
	// EarlyDone ends the answer after Tokens tokens with the marker of a complete one.
	EarlyDone Kind = "early-done"
	// Stall stops the answer after Tokens tokens and leaves the connection open.
	Stall Kind = "stall"
	// Late delays the answer by Delay.
	Late Kind = "late"
	// Crossed inserts events of another exchange into the answer.
	Crossed Kind = "crossed"
	// WrongEcho answers with the ID of another exchange; a page service also sends the
	// answer to another request.
	WrongEcho Kind = "wrong-echo"
	// Duplicate sends each event twice.
	Duplicate Kind = "duplicate"
	// Skip omits the event of one token.
	Skip Kind = "skip"
	// FailExport answers 500 when another engine fetches a KV cache.
	FailExport Kind = "fail-export"
	// LoseHandle drops a KV cache as soon as its handle has been returned.
	LoseHandle Kind = "lose-handle"
	// ForeignHandle binds a KV cache to a cache salt other than the request's.
	ForeignHandle Kind = "foreign-handle"
	// CrashInChange crashes the engine for Delay in the middle of an order's change.
	CrashInChange Kind = "crash-in-change"
	// LoseOrderAnswer carries out an order and closes the connection without an answer.
	LoseOrderAnswer Kind = "lose-order-answer"
	// LoadLag adds Delay to the age of load reports.
	LoadLag Kind = "load-lag"
	// CacheEventLag adds Delay to the delay of cache events.
	CacheEventLag Kind = "cache-event-lag"
	// CacheEventGap drops every cache event whose sequence number is a multiple of Tokens.
	CacheEventGap Kind = "cache-event-gap"
)

// kinds lists all kinds, for validation.
var kinds = []Kind{
	Refuse, Error, LoseAnswer, Cut, Truncate, EarlyDone, Stall, Late, Crossed, WrongEcho, Duplicate, Skip, FailExport,
	LoseHandle, ForeignHandle, CrashInChange, LoseOrderAnswer, LoadLag, CacheEventLag, CacheEventGap,
}

// check returns an error if the fault's kind is unknown.
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

// Always is the Count of a fault that applies until it is cleared.
const Always = -1

// Fault is one fault that is set.
type Fault struct {
	Kind Kind `json:"kind" yaml:"kind" check:"required,one-of=refuse|error|lose-answer|cut|truncate|early-done|stall|late|crossed|wrong-echo|duplicate|skip|fail-export|lose-handle|foreign-handle|crash-in-change|lose-order-answer|load-lag|cache-event-lag|cache-event-gap"`
	// Count is the number of requests that the fault still strikes; Always is all, 0 is none.
	Count int `json:"count" yaml:"count" check:"required"`
	// Tokens is the position in an answer, for the kinds that name it.
	Tokens int `json:"tokens,omitempty" yaml:"tokens"`
	// DelayMs is a duration in milliseconds, for the kinds that name Delay.
	DelayMs int64 `json:"delay_ms,omitempty" yaml:"delay_ms"`
}

// Delay returns DelayMs as a duration.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMs) * time.Millisecond }

// Set holds the faults of one stand-in.
type Set struct {
	mutex        sync.Mutex
	faults       map[Kind]Fault
	strikeCounts map[Kind]int
}

// NewSet returns a Set that holds the given faults.
func NewSet(faults ...Fault) *Set {
	set := &Set{}
	set.Replace(faults)
	return set
}

// Replace sets exactly the given faults.
func (s *Set) Replace(faults []Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = make(map[Kind]Fault, len(faults))
	for _, fault := range faults {
		s.faults[fault.Kind] = fault
	}
}

// Strike reports whether a fault of the kind strikes now. If it does, Strike decrements the
// fault's remaining count.
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
	if s.strikeCounts == nil {
		s.strikeCounts = make(map[Kind]int)
	}
	s.strikeCounts[kind]++
	return fault, true
}

// StrikeCounts returns how often each kind has struck.
func (s *Set) StrikeCounts() map[Kind]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.strikeCounts)
}

// Peek returns the fault of a kind, if one can strike, without counting a strike.
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
