package routing

import (
	"testing"
	"time"
)

// Copies of the class may be 2 s old. A purge lowers this limit and never raises it.
func TestPurgeExtendsNoFreshness(t *testing.T) {
	settings := testSettings()
	settings.Classes[readClass].FreshDuration = 2 * time.Second
	harness := newHarness(settings, cacheA)
	harness.isQuiet = true
	harness.handle(&Event{Kind: EventPurge, Object: 7, Age: 100 * ms})
	for _, test := range []struct{ later, want time.Duration }{
		{0, 99 * ms},
		{time.Second, 1099 * ms},
		{1900 * ms, 1999 * ms},
		{2 * time.Second, 0},
		{4 * time.Second, 0},
		{7 * time.Second, 0},
	} {
		harness.router.now = time.Minute + test.later
		req := &request{class: readClass, object: 7}
		if got := harness.router.maxAge(req); got != test.want {
			t.Errorf("%v after the purge arrived: max age %v, want %v", test.later, got, test.want)
		}
	}
}

// Rule 5: after a purge only younger copies are accepted, until all caches have dropped their old copies.
func Example_purge() {
	harness := newHarness(testSettings(), cacheA)
	harness.handle(&Event{Kind: EventPurge, Object: 9, Group: 1, Age: 200 * ms})
	harness.request(1, readClass, 9)
	harness.request(2, readClass, 17) // same group, but the purge names only object 9
	harness.advance(time.Second)
	harness.handle(&Event{Kind: EventPurge, Group: 1, Age: 300 * ms})
	harness.request(3, readClass, 17)
	harness.request(4, readClass, 9)
	harness.advance(7 * time.Second)
	harness.request(5, readClass, 9)
	// Output:
	//   0.00s request 1: attempt to A, fill from P, max age 199ms
	//   0.00s request 2: attempt to A, fill from P
	//   1.00s request 3: attempt to A, fill from P, max age 299ms
	//   1.00s request 4: attempt to A, fill from P, max age 299ms
	//   8.00s request 5: attempt to A, fill from P
}
