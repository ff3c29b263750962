package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hazelpitch/hazelpitch/platform/standin"
)

const (
	// deadlyPause is the time between two requests with one deadly part.
	deadlyPause = 150 * time.Millisecond
	// firstDeadly is when the first request with a deadly part is sent: sound ones with the same first part come before.
	firstDeadly = 3 * time.Second
	// soundPerDeadly is the number of clients that send sound prompts for each deadly part, soundParts the number of second parts
	// of these.
	soundPerDeadly = 3
	soundParts     = 8
)

// startPrompts starts, for each deadly part, a client that sends prompts with it, and clients that send sound ones with the same first
// part.
func (t *traffic) startPrompts(ctx context.Context) {
	for number := range t.site.options.DeadlyParts {
		first := fmt.Sprintf("5a%04x", number)
		t.running.Go(func() {
			sleep(ctx, firstDeadly)
			t.sendPrompts(ctx, fmt.Sprintf("de%02x", number), func(*rand.Rand) []string {
				return []string{first, fmt.Sprintf("%s%04x", standin.CrashPart, number)}
			})
		})
		for client := range soundPerDeadly {
			t.running.Go(func() {
				t.sendPrompts(ctx, fmt.Sprintf("50%02x%02x", number, client), func(random *rand.Rand) []string {
					return []string{first, fmt.Sprintf("5b%04x", random.IntN(soundParts))}
				})
			})
		}
	}
}

// sendPrompts sends prompts with the drawn shared parts to any relay until the context ends. No two of them are alike.
func (t *traffic) sendPrompts(ctx context.Context, client string, drawParts func(*rand.Rand) []string) {
	random := rand.New(rand.NewPCG(t.site.options.Seed, 9000+uint64(len(client))))
	sender := standin.NewClient(t.site.recorder)
	for count := 0; ctx.Err() == nil; count++ {
		relay := t.loadBalancer.pickRelay(random)
		sender.Send(context.WithoutCancel(ctx), standin.Attempt{
			ID: fmt.Sprintf("%s%010x", client, count), Route: []string{standin.RouteStream, standin.RouteOnce}[random.IntN(2)],
			Front: relay.Name, Address: relay.front, Body: fmt.Sprint("prompt ", client, " ", count), PromptTokens: 100, SharedParts: drawParts(random),
		})
		sleep(ctx, deadlyPause)
	}
}
