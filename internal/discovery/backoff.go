package discovery

import (
	"context"
	"math/rand/v2"
	"time"
)

// backoff computes pauses between retries. Each pause doubles the previous one, up to the longest, and has a jitter of
// plus or minus half.
type backoff struct {
	shortest, longest time.Duration
	next              time.Duration
}

func newBackoff(shortest, longest time.Duration) *backoff {
	return &backoff{shortest: shortest, longest: longest, next: shortest}
}

// reset makes the next pause the shortest.
func (b *backoff) reset() { b.next = b.shortest }

// wait waits until the pause has passed or ctx is done, and doubles the next pause.
func (b *backoff) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(b.next/2 + rand.N(b.next)):
	}
	b.next = min(2*b.next, b.longest)
}
