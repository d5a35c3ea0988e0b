package discovery

import (
	"math/rand/v2"
	"time"
)

// backoff computes pauses between retries. Each pause doubles the previous one, up to the longest, and has a jitter of
// plus or minus half.
type backoff struct {
	shortest, longest time.Duration
	upcoming          time.Duration
}

func newBackoff(shortest, longest time.Duration) *backoff {
	return &backoff{shortest: shortest, longest: longest, upcoming: shortest}
}

// reset makes the next pause the shortest.
func (b *backoff) reset() { b.upcoming = b.shortest }

// next returns the next pause, and doubles the one after it.
func (b *backoff) next() time.Duration {
	pause := b.upcoming/2 + rand.N(b.upcoming)
	b.upcoming = min(2*b.upcoming, b.longest)
	return pause
}
