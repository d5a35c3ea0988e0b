package routing

import (
	"time"
)

// tokenBucket is a tenant's bucket of views within its share.
type tokenBucket struct {
	tokens   float64
	filledAt time.Duration
}

// take takes one view of an allowance a second, if there is one left.
func (a *tokenBucket) take(each float64, now time.Duration) bool {
	a.tokens, a.filledAt = min(each, a.tokens+each*(now-a.filledAt).Seconds()), now
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}
