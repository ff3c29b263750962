package streamorigin

import (
	"container/list"
	"time"
)

// MaxRecords bounds the records of one table. The oldest give way first.
const MaxRecords = 65_536

// Table holds records by name, bounded by time and count. It is not safe for concurrent use.
type Table struct {
	capacity int
	byName   map[Name]*list.Element
	// byAge holds the entries, the one that was put first at the front.
	byAge *list.List
}

// entry is one record of a table.
type entry struct {
	name             Name
	record           Record
	putAt, expiresAt time.Duration
}

// NewTable returns an empty table for at most capacity records.
func NewTable(capacity int) *Table {
	return &Table{capacity: capacity, byName: map[Name]*list.Element{}, byAge: list.New()}
}

// Put stores a record for its lifetime, unless a record with a higher sequence number is stored under the name.
func (t *Table) Put(now time.Duration, name Name, record Record, lifetime time.Duration) {
	if known, found := t.Get(now, name); found && known.Sequence > record.Sequence {
		return
	}
	if element := t.byName[name]; element != nil {
		t.remove(element)
	}
	t.expire(now)
	for t.byAge.Len() >= t.capacity {
		t.remove(t.byAge.Front())
	}
	lifetime = min(max(lifetime, 0), MaxLifetime)
	t.byName[name] = t.byAge.PushBack(&entry{name: name, record: record, putAt: now, expiresAt: now + lifetime})
}

// Get returns the record of a name; false if there is none, or none any more.
func (t *Table) Get(now time.Duration, name Name) (Record, bool) {
	element := t.byName[name]
	if element == nil {
		return Record{}, false
	}
	found := element.Value.(*entry)
	return found.record, now < found.expiresAt
}

// Age returns how long ago the record of a name was put; 0 for none.
func (t *Table) Age(now time.Duration, name Name) time.Duration {
	element := t.byName[name]
	if element == nil {
		return 0
	}
	return now - element.Value.(*entry).putAt
}

// Len returns the number of stored records, with expired ones that were not removed yet.
func (t *Table) Len() int { return t.byAge.Len() }

// expire removes the records at the front that have expired. Others expire later, since lifetimes differ, but within MaxLifetime.
func (t *Table) expire(now time.Duration) {
	for front := t.byAge.Front(); front != nil && front.Value.(*entry).expiresAt <= now; front = t.byAge.Front() {
		t.remove(front)
	}
}

func (t *Table) remove(element *list.Element) {
	delete(t.byName, element.Value.(*entry).name)
	t.byAge.Remove(element)
}
