package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"plantainrelay/internal/dispatch"
)

const (
	retryShare   = 0.1
	retryReserve = 20
	// backoffStep is the mean pause before a retry.
	backoffStep = 20 * time.Millisecond
)

// budgets holds the retry budget of each route. It is safe for concurrent use.
type budgets struct {
	mu     sync.Mutex
	routes map[string]*dispatch.Budget
}

// request notes a request and returns what asks for its retries.
func (b *budgets) request(route string) (retry func() bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.routes == nil {
		b.routes = map[string]*dispatch.Budget{}
	}
	budget := b.routes[route]
	if budget == nil {
		budget = dispatch.NewBudget(retryShare, retryReserve)
		b.routes[route] = budget
	}
	budget.Request()
	return func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return budget.Retry()
	}
}

// backoff returns a jittered pause.
func backoff() time.Duration {
	return backoffStep/2 + rand.N(backoffStep)
}
