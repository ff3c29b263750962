package claimclient

import (
	"context"
	"sync"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/claims"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const (
	recorderQueue   = 1024
	recorderWorkers = 8
)

// Recorder records outcomes in the background, so that no caller waits for it. Its
// queue is bounded: what does not fit stays unrecorded, which is safe, and resends
// are then told that the request may have run.
type Recorder struct {
	client *Client
	queue  chan ended
}

// ended is how one claimed request ended.
type ended struct {
	claim   *v1.BeginClaim
	verdict verdict.Verdict
	outcome claims.Outcome
}

// NewRecorder returns a Recorder; Run has to be called for it to work.
func NewRecorder(client *Client) *Recorder {
	return &Recorder{client: client, queue: make(chan ended, recorderQueue)}
}

// Record takes an outcome in. It never blocks, and reports whether it had room. It
// must not be called after Close.
func (r *Recorder) Record(claim *v1.BeginClaim, how verdict.Verdict, outcome claims.Outcome) bool {
	select {
	case r.queue <- ended{claim: claim, verdict: how, outcome: outcome}:
		return true
	default:
		return false
	}
}

// Close tells Run to end once everything taken in has been tried.
func (r *Recorder) Close() { close(r.queue) }

// Run records outcomes until Close or until the context ends.
func (r *Recorder) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range recorderWorkers {
		workers.Go(func() { r.work(ctx) })
	}
	workers.Wait()
}

func (r *Recorder) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next, open := <-r.queue:
			if !open {
				return
			}
			r.client.Finish(ctx, next.claim, next.verdict, next.outcome)
		}
	}
}
