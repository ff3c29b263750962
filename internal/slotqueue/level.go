package slotqueue

import (
	"time"

	"github.com/google/btree"
)

// level holds the flows of one priority level.
type level struct {
	flows map[uint64]*flow
	// ranked holds, for each class, the flows with queued requests of the class, by start tag.
	ranked [classCount]*btree.BTreeG[*flow]
	// counts are the queued requests of each class.
	counts      [classCount]int
	virtualTime float64
}

func newLevel() *level {
	created := &level{flows: make(map[uint64]*flow)}
	for i := range created.ranked {
		created.ranked[i] = btree.NewG(treeDegree, fairOrder)
	}
	return created
}

func (l *level) count() int {
	count := 0
	for _, ofClass := range l.counts {
		count += ofClass
	}
	return count
}

func (l *level) add(e *entry) {
	f := e.flow
	if f.waitingCount() == 0 {
		// An idle tenant resumes at the present virtual time, so that it gets no credit for the time without requests.
		f.startTag = max(l.virtualTime, f.finishTag)
	}
	f.waiting[e.class].add(e)
	l.counts[e.class]++
	l.ranked[e.class].ReplaceOrInsert(f)
}

func (l *level) remove(e *entry) {
	f := e.flow
	f.waiting[e.class].remove(e)
	l.counts[e.class]--
	if f.waiting[e.class].count() == 0 {
		l.ranked[e.class].Delete(f)
	}
}

// start charges the flow of a request that gets a slot now with its expected slot time. The request must have been
// removed.
func (l *level) start(f *flow, expected float64) {
	l.virtualTime = max(l.virtualTime, f.startTag)
	f.finishTag = f.startTag + expected
	f.held++
	l.setStartTag(f, f.finishTag)
}

// finish corrects the charge of a request by the slot time that it has used beyond the expected one.
func (l *level) finish(f *flow, beyondExpected float64) {
	f.held--
	f.finishTag += beyondExpected
	l.setStartTag(f, f.startTag+beyondExpected)
}

func (l *level) setStartTag(f *flow, tag float64) {
	for c := range l.ranked {
		l.ranked[c].Delete(f)
	}
	f.startTag = tag
	for c := range l.ranked {
		if f.waiting[c].count() > 0 {
			l.ranked[c].ReplaceOrInsert(f)
		}
	}
}

// each visits the queued requests of a class in order until visit returns false. It reports whether all were visited.
// completedAt is when a request that gets its slot now is expected to be completed.
func (l *level) each(c class, completedAt time.Duration, visit func(*entry) bool) bool {
	continues := true
	l.ranked[c].Ascend(func(f *flow) bool {
		f.waiting[c].moveLate(completedAt)
		continues = f.waiting[c].each(visit)
		return continues
	})
	return continues
}

// countBefore returns how many requests of the level are expected to get a slot before e. Each other tenant is
// expected to get one slot per request of e's tenant.
func (l *level) countBefore(e *entry) int {
	ownBefore := e.flow.waiting[e.class].countBefore(e)
	count := ownBefore
	if e.class == newcomer {
		count += l.counts[returning]
	}
	l.ranked[e.class].Ascend(func(f *flow) bool {
		if f != e.flow {
			count += min(f.waiting[e.class].count(), ownBefore+1)
		}
		return true
	})
	return count
}
