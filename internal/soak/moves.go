package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/platform/standin"
)

const (
	// mostMoves is the largest number of configurations in one series that move routes.
	mostMoves = 4
	// longestQuickMove is the longest time between two of them that follow each other at once; shortestSlowMove and longestSlowMove bound it for others.
	longestQuickMove = 150 * time.Millisecond
	shortestSlowMove = time.Second
	longestSlowMove  = 4 * time.Second
	// maxAnnouncedSeries bounds the series that have been drawn and for which no strike has been drawn yet.
	maxAnnouncedSeries = 16
)

// resumesLater reports whether clients take streams up at once or later, also at a relay out of step, while answers are garbled.
func (o Options) resumesLater() bool { return o.Releases || o.Moves }

// otherEnginesVersion returns the software version of the second service of engines: in half of the seeds the very name that the first one
// has for its first version.
func (o Options) otherEnginesVersion() string {
	if o.Seed/2%2 == 0 {
		return releaseVersion(0)
	}
	return "w1"
}

// startOtherEngines starts the engines of the service to which routes of streams are moved.
func (s *site) startOtherEngines() error {
	for number := range s.options.Engines {
		options := s.engineOptions(number, groupOthers)
		options.Service, options.Versions = standin.ServiceOtherEngines, []string{s.options.otherEnginesVersion()}
		replica, err := standin.StartReplica(options)
		if err != nil {
			return trace.Wrap(err)
		}
		s.others = append(s.others, replica)
	}
	return nil
}

// contents returns the contents of the next configuration, whose plain routes use the service pages.
func (s *site) contents(pages string) standin.Contents {
	contents := standin.Contents{Pages: pages, WithTenants: s.options.Pressure}
	if s.moves != nil {
		contents.Streams = s.moves.routes
	}
	return contents
}

// awaitChange waits until the next configuration is due, and moves routes of streams if it is one of a series.
func (s *site) awaitChange(ctx context.Context, random *rand.Rand) {
	pause := s.options.changePause(random)
	if s.moves == nil {
		sleep(ctx, pause)
		return
	}
	left := time.Until(s.moves.due())
	if left > pause {
		sleep(ctx, pause)
		return
	}
	sleep(ctx, left)
	s.moves.move()
}

// moveSeries is a series of configurations that move routes.
type moveSeries struct {
	startsAt time.Time
	// offsets are when each configuration is due, from startsAt on.
	offsets []time.Duration
}

// routeMoves draws where the routes of streams lead, series by series. The operator alone calls it, and what draws strikes reads announced.
type routeMoves struct {
	random *rand.Rand
	// isSteady is true if routes stay between two series for longer than a stream can last.
	isSteady  bool
	routes    standin.StreamRoutes
	series    moveSeries
	moved     int
	announced chan moveSeries
}

func newRouteMoves(options Options) *routeMoves {
	return &routeMoves{
		random: rand.New(rand.NewPCG(options.Seed, 17000)), isSteady: options.isSteady(), routes: standin.StreamRoutes{First: standin.ServiceEngines},
		announced: make(chan moveSeries, maxAnnouncedSeries),
	}
}

// begin draws the first series, which comes soon.
func (m *routeMoves) begin() { m.beginSeries(m.drawSoon()) }

// due returns when the next move is due.
func (m *routeMoves) due() time.Time { return m.series.startsAt.Add(m.series.offsets[m.moved]) }

// move changes where the routes lead, and draws the next series after the last move of one.
func (m *routeMoves) move() {
	m.routes = drawMove(m.routes, m.random)
	if m.moved++; m.moved == len(m.series.offsets) {
		m.beginSeries(m.drawGap())
	}
}

// beginSeries draws the next series, which starts after a gap, and announces it.
func (m *routeMoves) beginSeries(gap time.Duration) {
	m.series, m.moved = moveSeries{startsAt: time.Now().Add(gap), offsets: drawOffsets(m.random)}, 0
	select {
	case m.announced <- m.series:
	default: // nothing strikes any more
	}
}

// drawGap draws the time until the next series: longer than a stream can last in odd seeds.
func (m *routeMoves) drawGap() time.Duration {
	if m.isSteady {
		return steadyTime + m.drawSoon()
	}
	return m.drawSoon()
}

// drawSoon draws a short time until a series, within which a relay can fall out of step.
func (m *routeMoves) drawSoon() time.Duration {
	return longestLead + time.Duration(m.random.Int64N(int64(longestReleaseGap)))
}

// drawOffsets draws when the configurations of a series are due: half of them follow at once, the others some seconds later.
func drawOffsets(random *rand.Rand) []time.Duration {
	offsets := make([]time.Duration, 1+random.IntN(mostMoves))
	for index := 1; index < len(offsets); index++ {
		gap := time.Duration(random.Int64N(int64(longestQuickMove)))
		if random.IntN(2) == 0 {
			gap = shortestSlowMove + time.Duration(random.Int64N(int64(longestSlowMove-shortestSlowMove)))
		}
		offsets[index] = offsets[index-1] + gap
	}
	return offsets
}

// drawMove draws the next routes: half of the moves lead the wide route to the other service, a quarter begin or end a split, and a quarter
// add or remove a narrow route, which leads to another service than the wide one.
func drawMove(from standin.StreamRoutes, random *rand.Rand) standin.StreamRoutes {
	moved := from
	switch random.IntN(4) {
	case 0:
		if moved.Second == "" {
			moved.Second = otherEngines(from.First)
			return moved
		}
		moved.First, moved.Second = []string{from.First, from.Second}[random.IntN(2)], ""
	case 1:
		if moved.Narrow = ""; from.Narrow == "" {
			moved.Narrow = otherEngines(from.First)
		}
	default:
		moved.First, moved.Second = otherEngines(from.First), ""
	}
	return moved
}

// otherEngines returns the other one of the two services of engines.
func otherEngines(service string) string {
	if service == standin.ServiceEngines {
		return standin.ServiceOtherEngines
	}
	return standin.ServiceEngines
}
