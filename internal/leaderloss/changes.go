package leaderloss

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/fleet"
)

const (
	// markerModel is a declared model that no request uses and that is changed throughout the run.
	markerModel = "leader-loss-marker"
	// changePause is the time between two changes.
	changePause = 50 * time.Millisecond
)

// acceptedChange is one change of the marker that a quorum accepted.
type acceptedChange struct {
	accepted time.Time
	number   uint64
	revision uint64
	version  string
}

// markerChanges submits changes of the marker, each from two operators at once with equal
// change numbers. It is safe for concurrent use.
type markerChanges struct {
	operator *fleet.Operator
	recorder *recorder

	mutex      sync.Mutex
	lastNumber uint64
	accepted   []acceptedChange
}

// run submits pairs of changes until the context ends. It always waits for the answers to a
// submitted pair: an abandoned change could be accepted without being checked.
func (c *markerChanges) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := c.submitPair(context.WithoutCancel(ctx)); err != nil {
			return trace.Wrap(err)
		}
		sleep(ctx, changePause)
	}
	return nil
}

// submitPair submits two changes with equal numbers: exactly one must be accepted, and the
// answer to the other must name the accepted one.
func (c *markerChanges) submitPair(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	number := c.nextNumber()
	type outcome struct {
		version  string
		answer   *v1.ApplyResponse
		answered time.Time
		err      error
	}
	outcomes := make(chan outcome)
	for _, name := range []string{"first", "second"} {
		go func() {
			version := fmt.Sprintf("%d-%s", number, name)
			answer, err := c.submit(ctx, number, version)
			outcomes <- outcome{version: version, answer: answer, answered: time.Now(), err: err}
		}()
	}
	one, other := <-outcomes, <-outcomes
	if one.err != nil || other.err != nil {
		return trace.NewAggregate(one.err, other.err)
	}
	if one.answer.GetOutcome() != v1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED {
		one, other = other, one
	}
	c.recorder.addCheck(conditionNumbers, numbersFinding(number, one.answer, other.answer))
	c.addAccepted(acceptedChange{accepted: one.answered, number: number, revision: one.answer.GetRevision(), version: one.version})
	return nil
}

// numbersFinding compares the answers to two submissions with equal numbers; "" is no finding.
func numbersFinding(number uint64, won, lost *v1.ApplyResponse) string {
	switch {
	case won.GetOutcome() != v1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED:
		return fmt.Sprintf("change %d: nobody won: %s and %s", number, won.GetOutcome(), lost.GetOutcome())
	case lost.GetOutcome() != v1.ApplyOutcome_APPLY_OUTCOME_NUMBER_TAKEN:
		return fmt.Sprintf("change %d: one is accepted, the other %s", number, lost.GetOutcome())
	case lost.GetWinnerRevision() != won.GetRevision():
		return fmt.Sprintf("change %d won as revision %d, and the other was told %d", number, won.GetRevision(), lost.GetWinnerRevision())
	}
	return ""
}

func (c *markerChanges) submit(ctx context.Context, number uint64, version string) (*v1.ApplyResponse, error) {
	text := fmt.Sprintf("model %s { version = %q }\n", markerModel, version)
	return c.operator.Submit(ctx, &v1.ApplyRequest{
		RequestId: uuid.NewString(), ChangeNumber: number,
		Files: []*v1.SourceFile{{Name: "marker.hzl", Text: text}},
	})
}

func (c *markerChanges) nextNumber() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastNumber++
	return c.lastNumber
}

func (c *markerChanges) addAccepted(change acceptedChange) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.accepted = append(c.accepted, change)
}

// all returns the accepted changes so far.
func (c *markerChanges) all() []acceptedChange {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]acceptedChange(nil), c.accepted...)
}

// highestRevision returns the highest revision of the accepted changes so far.
func (c *markerChanges) highestRevision() uint64 {
	var highest uint64
	for _, change := range c.all() {
		highest = max(highest, change.revision)
	}
	return highest
}

// acceptedAfter returns when the first change was accepted after a given time; the second value is false if there is
// none.
func (c *markerChanges) acceptedAfter(after time.Time) (time.Time, bool) {
	for _, change := range c.all() {
		if change.accepted.After(after) {
			return change.accepted, true
		}
	}
	return time.Time{}, false
}
