package client

import (
	"sync"
	"time"

	"firwood.dev/firwood/internal/clock"
)

// TokenBucket limits the rate of calls. Reserve and Wait take tokens that the bucket doesn't have
// yet: the balance is then negative, and each caller waits until its own tokens are covered.
type TokenBucket struct {
	mu              sync.Mutex
	tokensPerSecond float64
	burst           float64 // most tokens that accumulate
	tokens          float64 // negative if more are reserved than there are
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

// Delay returns how long it takes until the bucket has that many tokens, 0 if it has them now. It
// takes none.
func (bucket *TokenBucket) Delay(tokens float64) clock.Micros {
	bucket.lockAndRefill()
	defer bucket.mu.Unlock()
	return clock.FromSeconds((tokens - bucket.tokens) / bucket.tokensPerSecond)
}

// HasTokens tells whether the bucket has that many tokens now, and takes none. For more than the
// burst it tells whether the bucket is full, since it never has more.
func (bucket *TokenBucket) HasTokens(tokens float64) bool {
	bucket.lockAndRefill()
	defer bucket.mu.Unlock()
	return bucket.tokens >= min(tokens, bucket.burst)
}

// Drain empties the bucket; a negative balance stays. It is called after the service answered 429,
// which shows that the balance was too high.
func (bucket *TokenBucket) Drain() {
	bucket.lockAndRefill()
	defer bucket.mu.Unlock()
	bucket.tokens = min(bucket.tokens, 0)
}
