package routing

import (
	"testing"
	"time"
)

// Copies of a class may be 2 s old. A purge that was told a while ago makes that stricter, and never laxer.
func TestPurgeExtendsNoLife(t *testing.T) {
	set := testSettings()
	set.Classes[0].FreshFor = 2 * time.Second
	b := newHarness(set, cacheA)
	b.isMuted = true
	b.handle(&Event{Kind: EventPurge, Object: 7, Age: 100 * ms})
	for i, c := range []struct{ later, want time.Duration }{
		{0, 99 * ms}, {time.Second, 1099 * ms}, {1900 * ms, 1999 * ms}, {2 * time.Second, 0}, {4 * time.Second, 0}, {7 * time.Second, 0},
	} {
		b.router.now = time.Minute + c.later
		v := &request{class: 0, object: 7}
		if got := b.router.maxAge(v); got != c.want {
			t.Errorf("case %d: %v after the purge was told a copy may be %v old, not %v", i, c.later, got, c.want)
		}
	}
}
