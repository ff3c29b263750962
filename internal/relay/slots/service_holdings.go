package slots

import (
	"maps"
	"slices"

	"github.com/hazelpitch/hazelpitch/internal/slotqueue"
)

const (
	// maxHeldInReport and maxReleasedInReport bound a report: a held slot takes up to 17 bytes and a released one 18, so
	// that a full report fits into a datagram beside the service's name.
	maxHeldInReport     = 40
	maxReleasedInReport = 16
	// finalReports is how often the state without slots is reported after the last slot was released. Without it, a lost
	// report would leave that slot in use at the owner until its lease expires. A second one would cost two more datagrams
	// for each request of a relay with few requests.
	finalReports = 1
)

// serviceHoldings are the slots of one service that this relay holds, and its unanswered requests.
type serviceHoldings struct {
	// pending are the numbers of the requests without a final answer; lastNumber is the highest number of any request.
	pending    map[uint64]bool
	lastNumber uint64
	// held maps the numbers of requests to the back ends of which they hold a slot.
	held map[uint64]uint64
	// released are the slots that were released and not reported.
	released map[uint64]slotqueue.Result
	// reportsLeft is how many reports are still sent while no slot is held.
	reportsLeft int
}

func newServiceHoldings() *serviceHoldings {
	return &serviceHoldings{pending: map[uint64]bool{}, held: map[uint64]uint64{}, released: map[uint64]slotqueue.Result{}}
}

func (s *serviceHoldings) begin(number uint64) {
	s.pending[number], s.lastNumber = true, number
}

// release releases a slot; it returns false for a slot that is not held.
func (s *serviceHoldings) release(number uint64, result slotqueue.Result) bool {
	if _, isHeld := s.held[number]; !isHeld {
		return false
	}
	delete(s.held, number)
	s.released[number] = result
	s.reportsLeft = finalReports
	return true
}

// isIdle reports whether nothing is left to be reported.
func (s *serviceHoldings) isIdle() bool {
	return len(s.pending) == 0 && len(s.held) == 0 && len(s.released) == 0 && s.reportsLeft == 0
}

// takeReports returns the due reports, numbered by sequence. Several are needed when many slots were released.
func (s *serviceHoldings) takeReports(isRefresh bool, sequence *uint64) []slotqueue.Report {
	if isRefresh && len(s.released) == 0 {
		if len(s.held) == 0 && s.reportsLeft == 0 {
			return nil
		}
		s.reportsLeft = max(s.reportsLeft-1, 0)
		return []slotqueue.Report{s.report(nil, sequence)}
	}
	var reports []slotqueue.Report
	for batch := range slices.Chunk(slices.Sorted(maps.Keys(s.released)), maxReleasedInReport) {
		reports = append(reports, s.report(batch, sequence))
	}
	clear(s.released)
	return reports
}

// report returns a report of the held slots and of the given released ones. When more slots are held than fit, it lists
// those with the lowest numbers and says nothing about higher numbers.
func (s *serviceHoldings) report(released []uint64, sequence *uint64) slotqueue.Report {
	*sequence++
	report := slotqueue.Report{Sequence: *sequence, AnsweredUpTo: s.answeredUpTo(), Released: make(map[uint64]slotqueue.Result, len(released))}
	numbers := slices.Sorted(maps.Keys(s.held))
	if len(numbers) > maxHeldInReport {
		report.AnsweredUpTo = min(report.AnsweredUpTo, numbers[maxHeldInReport]-1)
		numbers = numbers[:maxHeldInReport]
		report.IsCut = true
	}
	for _, number := range numbers {
		report.Held = append(report.Held, slotqueue.Held{Number: number, BackEnd: s.held[number]})
	}
	for _, number := range released {
		report.Released[number] = s.released[number]
	}
	return report
}

// answeredUpTo returns the highest number up to which all requests had their final answers.
func (s *serviceHoldings) answeredUpTo() uint64 {
	answered := s.lastNumber
	for number := range s.pending {
		answered = min(answered, number-1)
	}
	return answered
}
