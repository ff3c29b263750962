package check

import (
	"fmt"
	"slices"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// clause is a part of the rule ORDER.
type clause string

// Clauses of the rule ORDER.
const (
	lacksEvent    clause = "lacks an event"
	holdsTwice    clause = "holds an event twice"
	joinsRuns     clause = "joins two runs"
	endsEarly     clause = "ends as complete before its last event"
	mixesVersions clause = "holds events of several software versions"
	goesBack      clause = "goes back"
)

// Clauses counts the streams that break each clause of the rule ORDER, and the attempts in which clients took streams up, at any
// relay, connected or not.
type Clauses struct {
	Lacks, Twice, Joined, EndsEarly, Versions, GoesBack int
	// Services counts the streams that hold events of several services; Versions counts only others.
	Services int
	// TakenUp counts the attempts that reached a relay: those that went on are served.
	TakenUp Share
}

// String formats the counts on one line.
func (c Clauses) String() string {
	return fmt.Sprintf("streams that lack an event: %d, hold one twice: %d, join two runs: %d, end as complete too early: %d, hold events of several software versions: %d, of several services: %d, go back: %d; take-ups at any relay: %s",
		c.Lacks, c.Twice, c.Joined, c.EndsEarly, c.Versions, c.Services, c.GoesBack, c.TakenUp)
}

// CountClauses counts the streams that break each clause.
func CountClauses(recorded *history.History) Clauses {
	counts, arrivals, ended := map[clause]int{}, arrivalsByID(recorded), endedStreams(recorded)
	var takenUp Share
	for _, sending := range recorded.Sendings {
		route := recorded.Routes[sending.Route]
		hasLeft := sending.ClosedAt > 0 || sending.LeftAt > 0 || sending.ResetAt > 0
		if sending.Resumes != "" && sending.Connected && !hasLeft {
			takenUp = takenUp.with(sending.Succeeded() && (sending.Whole || hasWholeEvents(sending.Body)))
		}
		if !route.Stream || !sending.Succeeded() || sending.Body == "" && sending.LastEvent > 0 && ended[beganAs(sending)] {
			continue
		}
		broken, _ := streamFault(sending, route, slices.ContainsFunc(arrivals[sending.ID], brokeOffUnframed))
		counts[broken]++
	}
	versions, services := countMixed(recorded)
	return Clauses{
		Lacks: counts[lacksEvent], Twice: counts[holdsTwice], Joined: counts[joinsRuns] + len(unaskedJoins(recorded)), EndsEarly: counts[endsEarly],
		Versions: versions, Services: services, GoesBack: counts[goesBack], TakenUp: takenUp,
	}
}
