package routing

import (
	"testing"
	"time"
)

// Copies of a class may be 2 s old. A purge that was told a while ago makes that stricter, and never laxer.
func TestPurgeExtendsNoFreshness(t *testing.T) {
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

// Rule 5: after a purge only younger copies will do, until all old ones are dropped.
func Example_purge() {
	b := newHarness(testSettings(), cacheA)
	b.handle(&Event{Kind: EventPurge, Object: 9, Group: 1, Age: 200 * ms})
	b.request(1, 0, 9)
	b.request(2, 0, 17) // same group, not purged
	b.advance(time.Second)
	b.handle(&Event{Kind: EventPurge, Group: 1, Age: 300 * ms})
	b.request(3, 0, 17)
	b.request(4, 0, 9)
	b.advance(7 * time.Second)
	b.request(5, 0, 9)
	// Output:
	//   0.00s request 1: attempt to A, fill from P, max age 199ms
	//   0.00s request 2: attempt to A, fill from P
	//   1.00s request 3: attempt to A, fill from P, max age 299ms
	//   1.00s request 4: attempt to A, fill from P, max age 299ms
	//   8.00s request 5: attempt to A, fill from P
}
