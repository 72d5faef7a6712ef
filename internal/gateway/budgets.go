package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"plantainrelay/internal/dispatch"
)

const (
	retryRatio = 0.1
	retryBurst = 20
	// meanRetryDelay is the mean delay before a retry.
	meanRetryDelay = 20 * time.Millisecond
)

// retryBudgets holds the retry budget of each route. It is safe for concurrent use.
type retryBudgets struct {
	mu     sync.Mutex
	routes map[string]*dispatch.Budget
}

// recordRequest counts a request and returns the function that reports whether
// the budget allows one more retry of it.
func (b *retryBudgets) recordRequest(route string) (retry func() bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.routes == nil {
		b.routes = map[string]*dispatch.Budget{}
	}
	budget := b.routes[route]
	if budget == nil {
		budget = dispatch.NewBudget(retryRatio, retryBurst)
		b.routes[route] = budget
	}
	budget.RecordRequest()
	return func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return budget.TryRetry()
	}
}

// retryDelay returns a jittered delay with the mean meanRetryDelay.
func retryDelay() time.Duration {
	return meanRetryDelay/2 + rand.N(meanRetryDelay)
}
