package slotqueue

// flow holds the requests of one tenant and level, and its position in start-time fair queueing. Tags are in seconds of
// slot time.
type flow struct {
	tenant  uint64
	waiting [classCount]tenantOrder
	// startTag is the virtual start time of the next request; finishTag is the virtual finish time of the last request
	// that got a slot.
	startTag, finishTag float64
	// held is the number of slots that the flow's requests have.
	held int
}

func newFlow(tenant uint64) *flow {
	created := &flow{tenant: tenant}
	for i := range created.waiting {
		created.waiting[i] = newTenantOrder()
	}
	return created
}

func (f *flow) waitingCount() int {
	count := 0
	for _, order := range f.waiting {
		count += order.count()
	}
	return count
}

func (f *flow) isIdle() bool { return f.held == 0 && f.waitingCount() == 0 }

// fairOrder orders flows by start tag, smallest first.
func fairOrder(a, b *flow) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.tenant < b.tenant
}
