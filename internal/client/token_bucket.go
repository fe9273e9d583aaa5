package client

import (
	"sync"
	"time"

	"firwood.dev/firwood/internal/clock"
)

// TokenBucket is a token bucket in which callers wait their turn.
type TokenBucket struct {
	mu              sync.Mutex
	tokensPerSecond float64 // a second
	burst           float64
	tokens          float64
	refilledAt      clock.Micros
}

// NewTokenBucket allows rate a second with bursts of `burst`.
func NewTokenBucket(rate, burst float64) *TokenBucket {
	return &TokenBucket{tokensPerSecond: rate, burst: burst, tokens: burst, refilledAt: clock.Now()}
}

// SetRate changes the allowance, as when the leader changes.
func (bucket *TokenBucket) SetRate(rate, burst float64) {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	bucket.refill(clock.Now())
	bucket.tokensPerSecond, bucket.burst = rate, burst
	bucket.tokens = min(bucket.tokens, burst)
}

func (bucket *TokenBucket) refill(now clock.Micros) {
	if now > bucket.refilledAt {
		bucket.tokens = min(bucket.burst, bucket.tokens+bucket.tokensPerSecond*(now-bucket.refilledAt).Seconds())
		bucket.refilledAt = now
	}
}

// Reserve books n and returns how long to wait until they may be used.
func (bucket *TokenBucket) Reserve(tokens float64) clock.Micros {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	bucket.refill(clock.Now())
	bucket.tokens -= tokens
	if bucket.tokens >= 0 {
		return 0
	}
	return clock.FromSeconds(-bucket.tokens / bucket.tokensPerSecond)
}

// Wait books n and sleeps until they may be used.
func (bucket *TokenBucket) Wait(tokens float64) {
	if delay := bucket.Reserve(tokens); delay > 0 {
		time.Sleep(delay.Duration())
	}
}

// Delay is how long it takes until n may be used.
func (bucket *TokenBucket) Delay(tokens float64) clock.Micros {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	bucket.refill(clock.Now())
	return clock.FromSeconds((tokens - bucket.tokens) / bucket.tokensPerSecond)
}

// HasTokens tells whether n may be used now.
func (bucket *TokenBucket) HasTokens(tokens float64) bool {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	bucket.refill(clock.Now())
	return bucket.tokens >= min(tokens, bucket.burst)
}

// Drain empties the bucket: the service has said that it is being asked too
// often, so what this side believed it had was wrong.
func (bucket *TokenBucket) Drain() {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	bucket.refill(clock.Now())
	bucket.tokens = min(bucket.tokens, 0)
}
