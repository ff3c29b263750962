package slotqueue

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkReviewOfAFullQueue shows what a review of a full queue costs by the number of slots.
func BenchmarkReviewOfAFullQueue(b *testing.B) {
	for _, slots := range []int{18, 1000} {
		b.Run(fmt.Sprintf("%d slots", slots), func(b *testing.B) {
			queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: slots})
			for number := range uint64(slots + maximumQueued) {
				queue.Submit(settled, with(newTestRequest(number+1), func(r *Request) {
					r.Tenant = number % 20
					r.TargetAt, r.DeadlineAt = settled+time.Hour, settled+time.Hour
				}))
			}
			if queue.QueuedCount() != maximumQueued {
				b.Fatal("the queue is not full")
			}
			for b.Loop() {
				queue.reviewedAt = 0
				queue.refuseDelayed()
			}
		})
	}
}
