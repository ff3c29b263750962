package gateway

import "sync"

const (
	// retryShare is the number of retries that each request adds to the budget: retries add at most this share to the
	// load of back ends, even when all of them fail.
	retryShare = 0.1
	// maximumRetryCredit bounds the credit, in retries, that accumulates while few requests fail.
	maximumRetryCredit = 20
)

// retryBudget is a token bucket that is refilled by requests and not by time, so that retries cannot
// amplify an outage. It is safe for concurrent use.
type retryBudget struct {
	mutex  sync.Mutex
	credit float64
}

func newRetryBudget() *retryBudget { return &retryBudget{credit: maximumRetryCredit} }

// earn adds the credit of one request.
func (b *retryBudget) earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.credit = min(b.credit+retryShare, maximumRetryCredit)
}

// spend uses the credit of one retry. It reports false when the budget is used up.
func (b *retryBudget) spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// canSpend reports whether spend would succeed now.
func (b *retryBudget) canSpend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.credit >= 1
}
