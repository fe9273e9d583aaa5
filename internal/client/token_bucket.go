package client

import (
	"sync"
	"time"

	"firwood.dev/firwood/internal/clock"
)

// TokenBucket limits the rate of calls. Reserve and Wait may take tokens that the bucket doesn't have
// yet: the balance then becomes negative, and each caller waits until its own tokens are covered.
type TokenBucket struct {
	mu              sync.Mutex
	tokensPerSecond float64
	burst           float64 // the most tokens that accumulate
	tokens          float64 // the balance; negative if more tokens are reserved than the bucket has
	refilledAt      clock.Micros
}

// NewTokenBucket returns a full bucket of burst tokens that gains rate tokens per second.
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

// SetRate changes the rate and the burst, for example after a change of the leader.
func (bucket *TokenBucket) SetRate(rate, burst float64) {
	bucket.lockAndRefill()
	defer bucket.mu.Unlock()
	bucket.tokensPerSecond, bucket.burst = rate, burst
	bucket.tokens = min(bucket.tokens, burst)
}

// Reserve takes tokens and returns how long the caller must wait until it may use them.
func (bucket *TokenBucket) Reserve(tokens float64) clock.Micros {
	bucket.lockAndRefill()
	defer bucket.mu.Unlock()
	bucket.tokens -= tokens
	if bucket.tokens >= 0 {
		return 0
	}
	return clock.FromSeconds(-bucket.tokens / bucket.tokensPerSecond)
}

// Wait takes tokens and sleeps until the caller may use them.
func (bucket *TokenBucket) Wait(tokens float64) {
	if delay := bucket.Reserve(tokens); delay > 0 {
		time.Sleep(delay.Duration())
	}
}

// Delay returns how long it takes until the bucket has the given number of tokens, or 0 if it has them
// now. It takes no tokens.
func (bucket *TokenBucket) Delay(tokens float64) clock.Micros {
	bucket.lockAndRefill()
	defer bucket.mu.Unlock()
	return clock.FromSeconds((tokens - bucket.tokens) / bucket.tokensPerSecond)
}

// HasTokens reports whether the bucket has the given number of tokens now. It takes none. The bucket
// never holds more than the burst, so for a number above the burst HasTokens reports whether it is full.
func (bucket *TokenBucket) HasTokens(tokens float64) bool {
	bucket.lockAndRefill()
	defer bucket.mu.Unlock()
	return bucket.tokens >= min(tokens, bucket.burst)
}

// Drain empties the bucket, but leaves a negative balance as it is. Clients call it after the service
// answered 429, which shows that the balance was too high.
func (bucket *TokenBucket) Drain() {
	bucket.lockAndRefill()
	defer bucket.mu.Unlock()
	bucket.tokens = min(bucket.tokens, 0)
}
