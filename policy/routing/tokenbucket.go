package routing

import "time"

// tokenBucket is a rate limiter that holds at most the tokens of one second, but never less than one token. With less,
// a rate below one token a second would never admit anything.
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
