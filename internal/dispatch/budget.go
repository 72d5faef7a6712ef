package dispatch

// Budget bounds the retries of a route to a share of its requests, so that
// retries don't multiply the load when many attempts fail. It is a token bucket
// that requests refill, and is not safe for concurrent use.
type Budget struct {
	retriesPerRequest float64
	maxTokens         float64
	tokens            float64
}

// NewBudget returns a budget that gains share retries with each request and holds
// at most limit retries. It starts full.
func NewBudget(share, limit float64) *Budget {
	return &Budget{retriesPerRequest: share, maxTokens: limit, tokens: limit}
}

// RecordRequest records a new request.
func (b *Budget) RecordRequest() {
	b.tokens = min(b.maxTokens, b.tokens+b.retriesPerRequest)
}

// TryRetry reports whether one more attempt is allowed, and if so counts it.
func (b *Budget) TryRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
