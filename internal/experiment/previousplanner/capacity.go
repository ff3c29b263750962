package previousplanner

import (
	"math"
	"sort"
)

// usableShare is the highest utilisation that the model plans for; above it, queues grow
// faster than admission can reduce them.
const usableShare = 0.97

// capacityModel estimates the worth per second that a split completes within the deadlines.
// It is a queueing model with one station for prefill and one for decode. Mixed engines add
// their capacity, less the penalty, to the station that needs it.
type capacityModel struct {
	mixedPenalty float64
}

// goodput returns worth per second for a split under a workload. Load beyond the capacity is
// shed by worth, as admission does; of the rest, the share that waits longer than its slack
// is lost.
func (m capacityModel) goodput(split Split, load workload) float64 {
	stations, ok := m.stations(split)
	if !ok {
		return 0
	}
	admitted := stations.admit(load)
	prefillServers, decodeServers := stations.balance(load, admitted)
	prefillDelay := newStation(prefillServers, load, admitted, func(k kindLoad) float64 { return k.prefill })
	decodeDelay := newStation(decodeServers, load, admitted, func(k kindLoad) float64 { return k.decode })
	total := 0.0
	for i, kind := range load {
		slack := math.Inf(1)
		if kind.deadline > 0 {
			slack = math.Max(kind.deadline-kind.prefill-kind.decode, 0)
		}
		inTime := (1 - prefillDelay.tail(slack/2)) * (1 - decodeDelay.tail(slack/2))
		total += kind.arrivals * kind.worth * admitted[i] * inTime
	}
	return total
}

// capacity is the engine-seconds per second of prefill, decode and mixed engines.
type capacity struct {
	prefill float64
	decode  float64
	mixed   float64
}

func (m capacityModel) stations(split Split) (capacity, bool) {
	mixed := float64(split.Mixed) * (1 - m.mixedPenalty)
	result := capacity{prefill: float64(split.Prefill), decode: float64(split.Decode), mixed: mixed}
	return result, result.prefill+mixed > 0 && result.decode+mixed > 0
}

// constraint is one limit on the admitted load: use must not exceed limit.
type constraint struct {
	limit float64
	use   func(kindLoad) float64
}

// admit returns the admitted share of each kind. It satisfies the constraint that is exceeded most first, by shedding
// the kinds with the least worth per unit of this constraint's use.
func (c capacity) admit(load workload) []float64 {
	admitted := make([]float64, len(load))
	for i := range admitted {
		admitted[i] = 1
	}
	constraints := []constraint{
		{usableShare * (c.prefill + c.mixed), func(k kindLoad) float64 { return k.prefill }},
		{usableShare * (c.decode + c.mixed), func(k kindLoad) float64 { return k.decode }},
		{usableShare * (c.prefill + c.decode + c.mixed), func(k kindLoad) float64 { return k.prefill + k.decode }},
	}
	for range constraints {
		worst, ratio := -1, 1.0
		for i, limit := range constraints {
			if r := limit.total(load, admitted) / limit.limit; r > ratio+1e-9 {
				worst, ratio = i, r
			}
		}
		if worst < 0 {
			break
		}
		constraints[worst].shed(load, admitted)
	}
	return admitted
}

func (c constraint) total(load workload, admitted []float64) float64 {
	total := 0.0
	for i, kind := range load {
		total += kind.arrivals * admitted[i] * c.use(kind)
	}
	return total
}

// shed lowers the admitted shares until the constraint is satisfied.
func (c constraint) shed(load workload, admitted []float64) {
	order := make([]int, 0, len(load))
	for i, kind := range load {
		if c.use(kind) > 0 {
			order = append(order, i)
		}
	}
	density := func(i int) float64 { return load[i].worth / c.use(load[i]) }
	sort.SliceStable(order, func(a, b int) bool { return density(order[a]) < density(order[b]) })
	excess := c.total(load, admitted) - c.limit
	for _, i := range order {
		if excess <= 0 {
			return
		}
		used := load[i].arrivals * admitted[i] * c.use(load[i])
		if used <= 0 {
			continue
		}
		cut := math.Min(used, excess)
		admitted[i] *= 1 - cut/used
		excess -= cut
	}
}

// balance divides the mixed capacity so that both stations have equal utilisation.
func (c capacity) balance(load workload, admitted []float64) (prefillServers, decodeServers float64) {
	prefillLoad, decodeLoad := 0.0, 0.0
	for i, kind := range load {
		prefillLoad += kind.arrivals * admitted[i] * kind.prefill
		decodeLoad += kind.arrivals * admitted[i] * kind.decode
	}
	total := c.prefill + c.decode + c.mixed
	wanted := total / 2
	if prefillLoad+decodeLoad > 0 {
		wanted = total * prefillLoad / (prefillLoad + decodeLoad)
	}
	lent := math.Min(math.Max(wanted-c.prefill, 0), c.mixed)
	return c.prefill + lent, c.decode + c.mixed - lent
}

// station is a queue with several servers.
type station struct {
	servers     float64
	utilisation float64
	// service is the mean engine-seconds per request.
	service float64
}

func newStation(servers float64, load workload, admitted []float64, use func(kindLoad) float64) station {
	work, rate := 0.0, 0.0
	for i, kind := range load {
		work += kind.arrivals * admitted[i] * use(kind)
		rate += kind.arrivals * admitted[i]
	}
	result := station{servers: servers}
	if servers > 0 {
		result.utilisation = math.Min(work/servers, 1)
	}
	if rate > 0 {
		result.service = work / rate
	}
	return result
}

// tail estimates the share of requests that wait longer than slack seconds, with
// Sakasegawa's approximation of the M/M/c waiting probability.
func (s station) tail(slack float64) float64 {
	if s.service == 0 || s.utilisation == 0 {
		return 0
	}
	if s.servers <= 0 {
		return 1
	}
	waits := math.Pow(s.utilisation, math.Sqrt(2*(s.servers+1))-1)
	if math.IsInf(slack, 1) {
		return 0
	}
	return waits * math.Exp(-s.servers*(1-s.utilisation)*slack/s.service)
}
