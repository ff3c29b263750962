package controlstate

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// changeNumbers records which accepted change used which change number.
type changeNumbers struct {
	records  recent[*v1.ChangeRecord]
	byNumber map[uint64]*v1.ChangeRecord
	// floor is the highest change number of a dropped record; numbers up to it count as taken.
	floor   uint64
	highest uint64
}

func newChangeNumbers() *changeNumbers {
	return &changeNumbers{
		records:  newRecent[*v1.ChangeRecord](MaximumChangeRecords),
		byNumber: map[uint64]*v1.ChangeRecord{},
	}
}

// findWinner reports whether a change number has been used, and returns the record of the change that used it
// while that record is retained.
func (c *changeNumbers) findWinner(number uint64) (winner *v1.ChangeRecord, taken bool) {
	if record := c.byNumber[number]; record != nil {
		return record, true
	}
	return nil, number <= c.floor
}

// add records an accepted change.
func (c *changeNumbers) add(record *v1.ChangeRecord) {
	c.byNumber[record.ChangeNumber] = record
	c.highest = max(c.highest, record.ChangeNumber)
	for _, evicted := range c.records.add(record) {
		if c.byNumber[evicted.ChangeNumber] == evicted {
			delete(c.byNumber, evicted.ChangeNumber)
		}
		c.floor = max(c.floor, evicted.ChangeNumber)
	}
}
