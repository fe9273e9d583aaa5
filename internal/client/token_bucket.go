package client

import (
	"sync"
	"time"

	"firwood.dev/firwood/internal/clock"
)

// TokenBucket limits the rate of calls. Tokens may be reserved in advance: the balance is then
// negative, and callers wait until it is covered.
type TokenBucket struct {
	mu              sync.Mutex
	tokensPerSecond float64
	burst           float64 // most tokens that accumulate
	tokens          float64
	refilledAt      clock.Micros
}

// NewTokenBucket returns a full bucket of `burst` tokens that gains `rate` tokens per second.
func NewTokenBucket(rate, burst float64) *TokenBucket {
	return &TokenBucket{tokensPerSecond: rate, burst: burst, tokens: burst, refilledAt: clock.Now()}
}

// lockAndRefill locks the mutex and adds the tokens gained since the last call.
func (bucket *TokenBucket) lockAndRefill() {
	bucket.mu.Lock()
	now := clock.Now()
	if now > bucket.refilledAt {
		bucket.tokens = min(bucket.burst, bucket.tokens+bucket.tokensPerSecond*(now-bucket.refilledAt).Seconds())
		bucket.refilledAt = now
	}
}

// SetRate changes rate and burst, as after a change of the leader.
func (bucket *TokenBucket) SetRate(rate, burst float64) {
	bucket.lockAndRefill()
	defer bucket.mu.Unlock()
	bucket.tokensPerSecond, bucket.burst = rate, burst
	bucket.tokens = min(bucket.tokens, burst)
}

// Reserve takes tokens and returns how long to wait until they may be used.
func (bucket *TokenBucket) Reserve(tokens float64) clock.Micros {
	bucket.lockAndRefill()
	defer bucket.mu.Unlock()
	bucket.tokens -= tokens
	if bucket.tokens >= 0 {
		return 0
	}
	return clock.FromSeconds(-bucket.tokens / bucket.tokensPerSecond)
}

// Wait takes tokens and sleeps until they may be used.
func (bucket *TokenBucket) Wait(tokens float64) {
	if delay := bucket.Reserve(tokens); delay > 0 {
		time.Sleep(delay.Duration())
	}
}

// Delay returns how long it takes until the bucket has that many tokens. It is negative if the
// bucket has more.
func (bucket *TokenBucket) Delay(tokens float64) clock.Micros {
	bucket.lockAndRefill()
	defer bucket.mu.Unlock()
	return clock.FromSeconds((tokens - bucket.tokens) / bucket.tokensPerSecond)
}

// HasTokens tells whether that many tokens may be used now. More than the burst are taken as the
// burst, since the bucket never has more.
func (bucket *TokenBucket) HasTokens(tokens float64) bool {
	bucket.lockAndRefill()
	defer bucket.mu.Unlock()
	return bucket.tokens >= min(tokens, bucket.burst)
}

// Drain empties the bucket. It is called after the service answered 429, which shows that the
// balance was too high.
func (bucket *TokenBucket) Drain() {
	bucket.lockAndRefill()
	defer bucket.mu.Unlock()
	bucket.tokens = min(bucket.tokens, 0)
}
