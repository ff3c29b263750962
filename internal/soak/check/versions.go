package check

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const (
	// toleratedMixedStreams is how many streams may hold events of several software versions.
	toleratedMixedStreams = 2
	// takenUpMinSample is the smallest number of streams that clients take up for which the share that goes on is checked.
	takenUpMinSample = 12
	// settledTime is how long a back end must have been listed, without a fault, to count as one that serves.
	settledTime = time.Second
)

// softwareSeparator precedes the version of the software in the identity that events carry.
const softwareSeparator = "@"

// origin is what wrote an event: a version of the software, in a service.
type origin struct{ service, version string }

// mixedStream is a stream that holds events of several origins.
type mixedStream struct {
	id      string
	endedAt time.Duration
	origins map[origin]bool
}

// services returns the services whose events the stream holds.
func (m mixedStream) services() []string {
	var services []string
	for each := range m.origins {
		services = append(services, each.service)
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// finding describes the stream.
func (m mixedStream) finding() Finding {
	if services := m.services(); len(services) > 1 {
		return newFinding(Order, m.endedAt, "stream %s holds events of %d services: %s", m.id, len(services), strings.Join(services, ", "))
	}
	return newFinding(Order, m.endedAt, "stream %s holds events of %d software versions", m.id, len(m.origins))
}

// mixedVersions finds that more than toleratedMixedStreams streams hold events of several software versions or of several services, in one
// response or over the attempts of their client.
func mixedVersions(recorded *history.History) []Finding {
	mixed := mixedStreamsOf(recorded)
	if !recorded.Bounds.NoMixedStreams && len(mixed) <= toleratedMixedStreams {
		return nil
	}
	var findings []Finding
	for _, stream := range mixed {
		findings = append(findings, stream.finding())
	}
	return findings
}

// mixedStreamsOf returns the streams that hold events of several software versions or of several services.
func mixedStreamsOf(recorded *history.History) []mixedStream {
	services := servicesByReplica(recorded)
	origins, endedAt := map[string]map[origin]bool{}, map[string]time.Duration{}
	for _, sending := range recorded.Sendings {
		if !recorded.Routes[sending.Route].Stream || !sending.Succeeded() {
			continue
		}
		stream := beganAs(sending)
		for _, each := range originsIn(sending.Body, services) {
			if origins[stream] == nil {
				origins[stream] = map[origin]bool{}
			}
			origins[stream][each] = true
		}
		endedAt[stream] = max(endedAt[stream], sending.EndedAt)
	}
	var mixed []mixedStream
	for stream, found := range origins {
		if len(found) > 1 {
			mixed = append(mixed, mixedStream{id: stream, endedAt: endedAt[stream], origins: found})
		}
	}
	return mixed
}

// countMixed counts the streams of several software versions of one service, and those of several services.
func countMixed(recorded *history.History) (versions, services int) {
	for _, stream := range mixedStreamsOf(recorded) {
		if len(stream.services()) > 1 {
			services++
			continue
		}
		versions++
	}
	return versions, services
}

// servicesByReplica returns the service of each incarnation that was listed.
func servicesByReplica(recorded *history.History) map[string]string {
	services := map[string]string{}
	for _, listing := range recorded.Listings {
		if listing.Service != "" {
			services[listing.Replica] = listing.Service
		}
	}
	return services
}

// beganAs returns the identity of the attempt that began the stream of an attempt.
func beganAs(sending history.Sending) string {
	if sending.Resumes != "" {
		return sending.Resumes
	}
	return sending.ID
}

// originsIn returns the origins of the whole events in a stream's body, with the services of the back ends that are known.
func originsIn(body string, services map[string]string) []origin {
	var origins []origin
	for _, event := range history.WholeEvents(body) {
		_, run, _, err := parseEvent(event)
		if replica, version, found := strings.Cut(run, softwareSeparator); err == nil && found {
			origins = append(origins, origin{service: services[replica], version: version})
		}
	}
	return origins
}

// hasWholeEvents reports whether a stream's body holds a whole event.
func hasWholeEvents(body string) bool { return len(originsIn(body, nil)) > 0 }

// TakenUp counts the streams that clients have taken up at relays in contact while two back ends of their software version served and
// their route led to the service that began them, and the streams that they have begun at relays in contact.
type TakenUp struct {
	TakenUp Share `json:"taken_up"`
	Begun   Share `json:"begun"`
	// Mixed counts the streams, at any relay, that hold events of several software versions, MixedServices those of several services.
	Mixed         int `json:"mixed"`
	MixedServices int `json:"mixed_services"`
}

// String formats the counts.
func (t TakenUp) String() string {
	return fmt.Sprintf("streams taken up that went on: %s; begun: %s; of several software versions: %d; of several services: %d", t.TakenUp, t.Begun, t.Mixed, t.MixedServices)
}

// CountTakenUp counts the streams that were taken up and begun.
func CountTakenUp(recorded *history.History) TakenUp {
	originOf, crashing, services := map[string]origin{}, crashingContents(recorded), servicesByReplica(recorded)
	for _, sending := range recorded.Sendings {
		if found := originsIn(sending.Body, services); len(found) > 0 && sending.Resumes == "" {
			originOf[sending.ID] = found[0]
		}
	}
	servers, counted := decodersOf(recorded), TakenUp{}
	counted.Mixed, counted.MixedServices = countMixed(recorded)
	for _, sending := range recorded.Sendings {
		route, hasLeft := recorded.Routes[sending.Route], sending.ClosedAt > 0 || sending.LeftAt > 0
		if !route.Stream || !route.Resumable || hasLeft || crashing[sending.Content] || !recorded.IsInContact(sending.Front, sending.SentAt) {
			continue
		}
		goesOn := sending.Succeeded() && (hasWholeEvents(sending.Body) || sending.Whole)
		switch {
		case sending.Resumes == "":
			counted.Begun = counted.Begun.with(goesOn)
		case servers.count(originOf[sending.Resumes], sending.SentAt) >= 2 && leadsTo(recorded, sending, originOf[sending.Resumes].service):
			counted.TakenUp = counted.TakenUp.with(goesOn)
		}
	}
	return counted
}

// lostStreams finds that, of the streams that clients take up, less than half the share goes on that begins of new ones.
func lostStreams(recorded *history.History) []Finding {
	counted := CountTakenUp(recorded)
	taken, begun := counted.TakenUp, counted.Begun
	if taken.All < takenUpMinSample || 2*taken.Served*begun.All >= begun.Served*taken.All {
		return nil
	}
	return []Finding{newFinding(Lost, recorded.Sendings[len(recorded.Sendings)-1].EndedAt, "%s", counted)}
}

// decoder is the time in which one incarnation of a back end that decodes was listed as ready.
type decoder struct {
	replica  string
	origin   origin
	from, to time.Duration
}

// decoders are all of a run.
type decoders struct {
	recorded *history.History
	all      []decoder
}

func decodersOf(recorded *history.History) decoders {
	found, index := decoders{recorded: recorded}, map[string]int{}
	for _, listing := range recorded.Listings {
		position, known := index[listing.Replica]
		switch {
		case listing.State == history.Ready && listing.Software != "":
			index[listing.Replica] = len(found.all)
			found.all = append(found.all, decoder{replica: listing.Replica, origin: origin{listing.Service, listing.Software}, from: listing.At, to: 1 << 62})
		case known && listing.State != history.Ready:
			found.all[position].to = min(found.all[position].to, listing.At)
		}
	}
	return found
}

// count returns how many back ends of an origin served at a time: listed for a while, and without a fault since.
func (d decoders) count(wanted origin, at time.Duration) int {
	count := 0
	for _, each := range d.all {
		if each.origin == wanted && each.from+settledTime <= at && at < each.to && !d.isDisturbed(each.replica, at) {
			count++
		}
	}
	return count
}

// isDisturbed reports whether a back end had a fault at a time or a moment before. Limits name their back end before a blank.
func (d decoders) isDisturbed(replica string, at time.Duration) bool {
	for _, fault := range d.recorded.Faults {
		if target, _, _ := strings.Cut(fault.Target, " "); target == replica && fault.From <= at && fault.To+settledTime >= at {
			return true
		}
	}
	for _, arrival := range d.recorded.Arrivals {
		if arrival.Replica == replica && arrival.Crashed && arrival.EndedAt <= at {
			return true
		}
	}
	return false
}
