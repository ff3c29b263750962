package load

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// arrival is one request to send, drawn before the run starts.
type arrival struct {
	at    time.Duration
	kind  int // index in Traffic.Requests
	index int // position in the run
}

// drawArrivals returns all arrivals of a run in order of time: Poisson arrivals with a
// periodic rate. The result depends on the arguments alone.
func drawArrivals(traffic Traffic, length time.Duration, scale float64, seed uint64) []arrival {
	var arrivals []arrival
	for kind, request := range traffic.Requests {
		source := rand.New(rand.NewPCG(seed, uint64(kind)+1))
		peak := request.Rate * scale * (1 + request.Swing.Amplitude)
		if peak <= 0 {
			continue
		}
		for at := time.Duration(0); ; {
			at += time.Duration(source.ExpFloat64() / peak * float64(time.Second))
			if at >= length {
				break
			}
			if source.Float64()*peak <= request.rateAt(at)*scale {
				arrivals = append(arrivals, arrival{at: at, kind: kind})
			}
		}
	}
	sort.SliceStable(arrivals, func(one, other int) bool { return arrivals[one].at < arrivals[other].at })
	for number := range arrivals {
		arrivals[number].index = number
	}
	return arrivals
}

// rateAt returns the rate at a time since the start of the run.
func (r RequestKind) rateAt(at time.Duration) float64 {
	if r.Swing.Amplitude == 0 {
		return r.Rate
	}
	turn := at.Seconds()/r.Swing.Period.Seconds() + r.Swing.Phase
	return r.Rate * (1 + r.Swing.Amplitude*math.Sin(2*math.Pi*turn))
}
