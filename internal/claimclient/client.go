// Package claimclient executes the operations of package claims with calls to the
// controllers. It makes no decisions of its own.
//
// A Client is safe for concurrent use. A Recorder is safe for concurrent use; its
// Run must be called once.
package claimclient

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/claims"
	"github.com/hazelpitch/hazelpitch/internal/pause"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// HeaderLeaderAddress is the error metadata in which controllers that do not lead name the leader.
const HeaderLeaderAddress = "X-Leader-Address"

// Controllers makes the calls to the controllers. Its errors are connect errors.
type Controllers interface {
	// Addresses returns all controllers, with the leader first if it is known.
	Addresses() []string
	BeginClaim(ctx context.Context, address string, request *v1.BeginClaimRequest) (*v1.BeginClaimResponse, error)
	FinishClaim(ctx context.Context, address string, request *v1.FinishClaimRequest) error
}

// Client acquires claims and records their outcomes.
type Client struct {
	config      claims.Config
	controllers Controllers
	now         func() time.Duration
}

// New returns a Client. now is a monotonic clock.
func New(config claims.Config, controllers Controllers, now func() time.Duration) *Client {
	return &Client{config: config.WithDefaults(), controllers: controllers, now: now}
}

// Begin requests the right to run a request; deadline is 0 for none. It blocks until the claim is
// decided or the context ends, in which case the request is refused as not run. If release is true,
// the claim may be held, and Finish with verdict.NotRun must follow.
func (c *Client) Begin(ctx context.Context, deadline time.Duration, claim *v1.BeginClaim) (decision claims.Decision, release bool) {
	begin := claims.NewBeginOperation(c.config, c.now(), deadline, claim, c.controllers.Addresses())
	for {
		step := begin.Next(c.now())
		if step.Done {
			return *begin.Decision(), begin.MustRelease()
		}
		if step.Call == "" {
			if !c.sleepUntil(ctx, step.Wait) {
				return claims.AbandonedDecision(), true
			}
			continue
		}
		response, err := c.callBegin(ctx, step, begin.Request())
		switch {
		case err == nil:
			begin.HandleResponse(response)
		case ctx.Err() != nil:
			return claims.AbandonedDecision(), true
		default:
			begin.HandleFailure(c.now(), failureOf(err))
		}
	}
}

// Finish records how a claimed request ended. It blocks until a controller has confirmed the outcome,
// the time limit passes or the context ends, and reports whether the outcome was confirmed. An
// unrecorded outcome is safe; see claims.FinishOperation.
func (c *Client) Finish(ctx context.Context, claim *v1.BeginClaim, result verdict.Verdict, outcome claims.Outcome) bool {
	finish := claims.NewFinishOperation(c.config, c.now(), claim, result, outcome, c.controllers.Addresses())
	for {
		step := finish.Next(c.now())
		switch {
		case step.Done:
			return finish.IsRecorded()
		case step.Call == "":
			if !c.sleepUntil(ctx, step.Wait) {
				return false
			}
		default:
			err := c.callFinish(ctx, step, finish.Request())
			if err == nil {
				finish.MarkRecorded()
			} else {
				finish.HandleFailure(c.now(), failureOf(err))
			}
			if ctx.Err() != nil {
				return finish.IsRecorded()
			}
		}
	}
}

func (c *Client) callBegin(ctx context.Context, step claims.Step, request *v1.BeginClaimRequest) (*v1.BeginClaimResponse, error) {
	limited, cancel := context.WithTimeout(ctx, step.Timeout)
	defer cancel()
	return c.controllers.BeginClaim(limited, step.Call, request)
}

func (c *Client) callFinish(ctx context.Context, step claims.Step, request *v1.FinishClaimRequest) error {
	limited, cancel := context.WithTimeout(ctx, step.Timeout)
	defer cancel()
	return c.controllers.FinishClaim(limited, step.Call, request)
}

// sleepUntil sleeps until the given time. It returns false if the context ends first.
func (c *Client) sleepUntil(ctx context.Context, until time.Duration) bool {
	return pause.For(ctx, until-c.now())
}

// failureOf converts the error of a call to a Failure. InvalidArgument is permanent at every controller; after any
// other error, a call to another controller or a later call may succeed.
func failureOf(err error) claims.Failure {
	failure := claims.Failure{Permanent: connect.CodeOf(err) == connect.CodeInvalidArgument}
	var coded *connect.Error
	if errors.As(err, &coded) {
		failure.Leader = coded.Meta().Get(HeaderLeaderAddress)
	}
	return failure
}
