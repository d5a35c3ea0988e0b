package discovery

import (
	"context"
	"math/rand/v2"
	"time"
)

// backoff is a pause between retries that doubles each time, with jitter.
type backoff struct {
	shortest, longest time.Duration
	next              time.Duration
}

func newBackoff(shortest, longest time.Duration) *backoff {
	return &backoff{shortest: shortest, longest: longest, next: shortest}
}

// reset makes the next pause the shortest again.
func (b *backoff) reset() { b.next = b.shortest }

// wait pauses, unless the context ends before, and doubles the next pause.
func (b *backoff) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(b.next/2 + rand.N(b.next)):
	}
	b.next = min(2*b.next, b.longest)
}
