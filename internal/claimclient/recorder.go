package claimclient

import (
	"context"
	"sync"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/claims"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const (
	recorderQueueLength = 1024
	recorderWorkers     = 8
)

// Recorder records outcomes in the background, so that callers do not wait for the controllers. Its queue is
// bounded: outcomes that do not fit remain unrecorded. This is safe: later attempts are answered that
// the request may have run.
type Recorder struct {
	client *Client
	queue  chan finishedRequest
}

// finishedRequest is the result of one claimed request.
type finishedRequest struct {
	claim   *v1.BeginClaim
	verdict verdict.Verdict
	outcome claims.Outcome
}

// NewRecorder returns a Recorder. Run must be called to process its queue.
func NewRecorder(client *Client) *Recorder {
	return &Recorder{client: client, queue: make(chan finishedRequest, recorderQueueLength)}
}

// Record queues an outcome. It never blocks and returns false if the queue is full. It must not be
// called after Close.
func (r *Recorder) Record(claim *v1.BeginClaim, result verdict.Verdict, outcome claims.Outcome) bool {
	select {
	case r.queue <- finishedRequest{claim: claim, verdict: result, outcome: outcome}:
		return true
	default:
		return false
	}
}

// Close makes Run return once it has tried to record all queued outcomes.
func (r *Recorder) Close() { close(r.queue) }

// Run records outcomes until Close is called or the context ends.
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
