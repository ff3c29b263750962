package scale

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/pause"
)

// spreadLimit is how long a change may take before it counts as missing at nodes.
const spreadLimit = time.Minute

// Change is one declaration that was accepted.
type Change struct {
	Revision uint64
	// Submitted and Accepted are when it was sent and answered.
	Submitted, Accepted time.Time
}

// Change submits the nth change of a series: each changes another tenant or kind.
func (f *Fleet) Change(ctx context.Context, number int) (Change, error) {
	text := TenantDeclaration(number%f.Plan.Tenants, 1+number)
	if number%2 == 0 {
		text = KindDeclaration(number/2%f.Plan.Models, 1+number)
	}
	submitted := time.Now()
	response, accepted, err := f.Submit(ctx, text)
	if err != nil {
		return Change{}, trace.Wrap(err)
	}
	return Change{Revision: response.GetRevision(), Submitted: submitted, Accepted: accepted}, nil
}

// Changes submits changes with a pause between them, waits until the last is in force
// everywhere, and tells how they spread.
func (f *Fleet) Changes(ctx context.Context, name string, first, count int, between time.Duration) (ChangeSpread, error) {
	changes := make([]Change, 0, count)
	for number := range count {
		if number > 0 && between > 0 && !pause.For(ctx, between) {
			return ChangeSpread{}, trace.Wrap(ctx.Err())
		}
		change, err := f.Change(ctx, first+number)
		if err != nil {
			return ChangeSpread{}, trace.Wrap(err)
		}
		changes = append(changes, change)
	}
	limited, cancel := context.WithTimeout(ctx, spreadLimit)
	defer cancel()
	if len(changes) > 0 {
		_ = f.WaitRevision(limited, changes[len(changes)-1].Revision) // what is missing is counted below
	}
	return f.summary(name, changes), nil
}

func (f *Fleet) summary(name string, changes []Change) ChangeSpread {
	var accepts, slowest []float64
	spread := ChangeSpread{Name: name, Changes: len(changes)}
	for _, change := range changes {
		each := f.SpreadOf(change.Revision, change.Accepted)
		accepts = append(accepts, change.Accepted.Sub(change.Submitted).Seconds())
		slowest = append(slowest, each.Max)
		spread.Missing += each.Missing
	}
	spread.AcceptP50, spread.AcceptMax = quantile(accepts, 0.5), quantile(accepts, 1)
	spread.SlowestP50, spread.SlowestP99, spread.SlowestMax = quantile(slowest, 0.5), quantile(slowest, 0.99), quantile(slowest, 1)
	return spread
}
