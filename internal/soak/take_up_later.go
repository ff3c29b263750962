package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
	"github.com/hazelpitch/hazelpitch/platform/standin"
)

const (
	// longestTakeUpDelay is the longest time that a client waits before it takes a stream up. No client does that later than lastTakeUp after
	// the stream began.
	longestTakeUpDelay = 1500 * time.Millisecond
	lastTakeUp         = 3500 * time.Millisecond
	// unreachablePause is the pause after an attempt that reached no relay.
	unreachablePause = 100 * time.Millisecond
	// meanEvents and mostEvents are the mean and the largest numbers of events of streams that may be resumed; the others have meanLongEvents and
	// mostLongEvents.
	meanEvents, mostEvents         = 6.5, 25
	meanLongEvents, mostLongEvents = 17.0, 68
	// resetShareOfClients is the share of clients whose connections are reset at once.
	resetShareOfClients = 0.35
)

// takeUpLater takes up a stream that broke off within it, at once or later, until maxTakeUps attempts have reached a relay: at any
// relay, or at one that is out of step.
func (t *traffic) takeUpLater(ctx context.Context, client *standin.Client, attempt standin.Attempt, sent history.Sending, random *rand.Rand) {
	latest := sent.SentAt + lastTakeUp
	for number, reached := 1, 0; reached < maxTakeUps; number++ {
		last := standin.LastEvent(sent.Body)
		isOver := sent.Succeeded() && sent.Whole || sent.LeftAt > 0 || sent.ClosedAt > 0
		if !standin.Routes()[attempt.Route].Resumable || isOver || last == 0 && attempt.LastEvent == 0 {
			return
		}
		if attempt.Resumes == "" {
			attempt.Resumes = sent.ID
		}
		if random.IntN(2) == 0 {
			sleep(ctx, time.Duration(random.Int64N(int64(longestTakeUpDelay))))
		}
		if t.site.recorder.Now() > latest {
			return
		}
		relay := t.loadBalancer.pickRelay(random)
		if outOfStep := t.site.outOfStep.Load(); outOfStep != nil && random.IntN(4) > 0 {
			relay = outOfStep
		}
		attempt.ID, attempt.Front, attempt.Address = fmt.Sprintf("%s-%d", attempt.Resumes, number), relay.Name, relay.front
		attempt.LastEvent, attempt.CloseAfter = max(last, attempt.LastEvent), 0
		if sent = client.Send(context.WithoutCancel(ctx), attempt); sent.Connected {
			reached++
			continue
		}
		sleep(ctx, unreachablePause)
	}
}

// drawEvents draws the number of events of a stream; 0 for the usual one.
func (s *site) drawEvents(route string, random *rand.Rand) int {
	switch {
	case !s.options.resumesLater():
		return 0
	case standin.Routes()[route].Resumable:
		return min(mostEvents, 1+int(random.ExpFloat64()*meanEvents))
	default:
		return min(mostLongEvents, 1+int(random.ExpFloat64()*meanLongEvents))
	}
}

// newClient returns a client whose connections can be reset.
func (t *traffic) newClient() *standin.Client {
	client := standin.NewClient(t.site.recorder)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.clients = append(t.clients, client)
	return client
}
