package routing

import "time"

// tokenBucket is a rate limiter. Its capacity is the tokens of one second, or one token if that is more. With a smaller
// capacity, a rate below one token a second would never admit a request.
type tokenBucket struct {
	tokens   float64
	filledAt time.Duration
}

// take takes one token from a bucket that is filled at ratePerSecond, and reports whether one was left.
func (b *tokenBucket) take(ratePerSecond float64, now time.Duration) bool {
	b.tokens = min(max(1, ratePerSecond), b.tokens+ratePerSecond*(now-b.filledAt).Seconds())
	b.filledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
