package routing

import (
	"testing"
	"time"
)

func TestOutlierIsEjectedByFailures(t *testing.T) {
	for name, test := range map[string]struct {
		weight float64
		want   int
	}{
		"failed connects": {hardFailureWeight, 2},
		"error answers":   {softFailureWeight, 4},
	} {
		t.Run(name, func(t *testing.T) {
			var detector outlierDetector
			failures := 1
			for ; !detector.recordFailure(test.weight, time.Minute); failures++ {
				if failures > 100 {
					t.Fatal("not ejected after 100 failures")
				}
			}
			if failures != test.want {
				t.Errorf("ejected after %d failures, want %d", failures, test.want)
			}
		})
	}
}

func TestSuccessesKeepAnEndpointIn(t *testing.T) {
	var detector outlierDetector
	for range 1000 {
		if detector.recordFailure(softFailureWeight, time.Minute) {
			t.Fatal("ejected although most attempts succeed")
		}
		for range 3 {
			detector.recordSuccess(time.Minute, false)
		}
	}
}

func ejectedDetector(now time.Duration) outlierDetector {
	var detector outlierDetector
	for !detector.recordFailure(hardFailureWeight, now) {
	}
	return detector
}

func TestTrialsGoAtGrowingDistance(t *testing.T) {
	now := time.Minute
	detector := ejectedDetector(now)
	for _, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		if got := detector.nextTrial - now; got != want {
			t.Errorf("got a delay of %v to the next trial, want %v", got, want)
		}
		if detector.allowsAttempt(detector.nextTrial - 1) {
			t.Error("an attempt is allowed before the trial is due")
		}
		now = detector.nextTrial
		if !detector.allowsAttempt(now) {
			t.Error("the trial is not allowed")
		}
		detector.beginTrial(now)
		if detector.allowsAttempt(now) {
			t.Error("a second attempt is allowed at the time of the trial")
		}
		detector.recordFailure(hardFailureWeight, now)
	}
}

func TestThreeSuccessesEndAnEjection(t *testing.T) {
	ejectedAt := time.Minute
	for name, test := range map[string]struct {
		weight    float64
		sentAt    time.Duration
		fromCache bool
		want      recovery
	}{
		"after error answers":                     {softFailureWeight, ejectedAt + time.Second, false, recoveryReturned},
		"after silence":                           {hardFailureWeight, ejectedAt + time.Second, false, recoveryRestarted},
		"after silence, from a cached copy":       {hardFailureWeight, ejectedAt + time.Second, true, recoveryReturned},
		"after silence, sent before the ejection": {hardFailureWeight, ejectedAt - time.Second, false, recoveryReturned},
		"after silence, sent at the ejection":     {hardFailureWeight, ejectedAt, false, recoveryRestarted},
	} {
		t.Run(name, func(t *testing.T) {
			var detector outlierDetector
			for !detector.recordFailure(test.weight, ejectedAt) {
			}
			for i := range successesToRecover {
				got := detector.recordSuccess(test.sentAt, test.fromCache)
				want := recoveryNone
				if i == successesToRecover-1 {
					want = test.want
				}
				if got != want {
					t.Errorf("success %d: got %v, want %v", i+1, got, want)
				}
			}
			if detector.ejected {
				t.Error("still ejected")
			}
		})
	}
}

func TestParentIsRemappedButForTrials(t *testing.T) {
	detector := ejectedDetector(time.Minute)
	detector.nextTrial = 2 * time.Minute
	for name, test := range map[string]struct {
		now  time.Duration
		want bool
	}{
		"brief failure": {time.Minute + parentRemapDelay - 1, false},
		"long failure":  {time.Minute + parentRemapDelay, true},
		"trial due":     {2 * time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := detector.isRemapped(test.now); got != test.want {
				t.Errorf("unexpected result %v of isRemapped", got)
			}
		})
	}
}

// The objects of an unreachable parent are filled from the origin at first. After 10 s the parent's arc belongs to the
// next parent, except for trials.
func Example_parentLoss() {
	harness := newHarness(testSettings(), cacheA)
	object := harness.firstObject(cacheA, parentP)
	for id := RequestID(1); id <= 3; id++ {
		harness.request(id, readClass, object)
		if id < 3 {
			harness.result(id, cacheA, 20*ms, Overloaded, NoteSourceUnreachable)
		}
		harness.result(id, cacheA, 150*ms, Succeeded, NoteViaOrigin)
	}
	harness.advance(10 * time.Second)
	harness.request(4, readClass, object) // a trial is due
	harness.result(4, cacheA, 20*ms, Overloaded, NoteSourceUnreachable)
	harness.result(4, cacheA, 150*ms, Succeeded, NoteViaOrigin)
	harness.request(5, readClass, object)
	harness.result(5, cacheA, 150*ms, Succeeded, NoteFilled)
	// Output:
	//   0.00s request 1: attempt to A, fill from P
	//   0.02s request 1: attempt to A, fill from origin
	//   0.17s request 2: attempt to A, fill from P
	//   0.19s request 2: attempt to A, fill from origin
	//   0.34s request 3: attempt to A, fill from origin
	//  10.49s request 4: attempt to A, fill from P
	//  10.51s request 4: attempt to A, fill from origin
	//  10.66s request 5: attempt to A, fill from Q
}

// Requests that fail at each endpoint are rejected after two error answers, and no endpoint is ejected. An endpoint
// whose failed requests succeed at another endpoint is ejected. Connections that break at the same moment count as one
// failure.
func Example_requestsOwnFault() {
	harness := newHarness(testSettings(), cacheA, cacheB)
	object := harness.firstObject(cacheA, parentP)
	harness.isQuiet = true
	for id := RequestID(1); id <= 8; id++ {
		harness.request(id, readClass, object)
		harness.result(id, cacheA, ms, Failed, NoteNone)
		harness.result(id, cacheB, ms, Failed, NoteNone)
	}
	harness.isQuiet = false
	harness.request(9, readClass, object)
	harness.result(9, cacheA, ms, Failed, NoteNone)
	harness.result(9, cacheB, ms, Failed, NoteNone)
	harness.isQuiet = true
	for id := RequestID(10); id <= 16; id++ {
		harness.request(id, readClass, object)
	}
	for id := RequestID(10); id <= 16; id++ {
		harness.result(id, cacheA, 0, ConnectionBroken, NoteNone)
		harness.result(id, cacheB, 0, Succeeded, NoteHit)
	}
	harness.isQuiet = false
	for id := RequestID(17); id <= 21; id++ {
		harness.request(id, readClass, object)
		if id < 20 {
			harness.result(id, cacheA, ms, Failed, NoteNone)
		}
		harness.result(id, cacheB, 100*ms, Succeeded, NoteHit)
	}
	// Output:
	//   0.02s request 9: attempt to A, fill from P
	//   0.02s request 9: attempt to B, fill from P
	//   0.02s request 9: rejected
	//   0.02s request 17: attempt to A, fill from P
	//   0.02s request 17: attempt to B, fill from P
	//   0.12s request 18: attempt to A, fill from P
	//   0.12s request 18: attempt to B, fill from P
	//   0.22s request 19: attempt to A, fill from P
	//   0.22s request 19: attempt to B, fill from P
	//   0.32s request 20: attempt to B, fill from P
	//   0.42s request 21: attempt to B, fill from P
}

// All caches break some connections, but none is lost. Once all are ejected, they are still tried. A cache that answers
// from a cached copy is not treated as restarted.
func Example_brokenEverywhere() {
	settings := testSettings()
	settings.AllowDirect = false
	harness := newHarness(settings, cacheA, cacheB)
	harness.isQuiet = true
	object := harness.firstObject(cacheA, parentP)
	for id := RequestID(1); id <= 4; id++ {
		harness.request(id, readClass, object)
		harness.result(id, cacheA, 10*ms, ConnectionBroken, NoteNone)
		harness.result(id, cacheB, 10*ms, ConnectionBroken, NoteNone)
	}
	harness.isQuiet = false
	for id := RequestID(5); id <= 8; id++ {
		harness.request(id, readClass, object)
		harness.result(id, cacheA, 300*ms, Succeeded, NoteHit)
	}
	// Output:
	//   0.08s request 5: attempt to A, fill from P
	//   0.38s request 6: attempt to A, fill from P
	//   0.68s request 7: attempt to A, fill from P
	//   0.98s request 8: attempt to A, fill from P
}

// A parent whose fills begin in time but then are slow counts as failing.
func Example_draggingParent() {
	harness := newHarness(testSettings(), cacheA)
	for id := RequestID(1); id <= 6; id++ {
		harness.request(id, readClass, 7+ObjectID(id)*1000)
		harness.advance(2 * time.Second)
		harness.handle(&Event{
			Kind: EventAttemptResult, Request: id, Endpoint: cacheA, Outcome: Succeeded, Note: NoteFilled,
			Elapsed: 2 * time.Second, FirstByteWait: 20 * ms, Final: true,
		})
	}
	// Output:
	//   0.00s request 1: attempt to A, fill from P
	//   2.00s request 2: attempt to A, fill from Q
	//   2.36s request 2: attempt to A, fill from origin
	//   4.00s request 2: attempt 1 cancelled
	//   4.00s request 3: attempt to A, fill from P
	//   6.00s request 4: attempt to A, fill from Q
	//   8.00s request 5: attempt to A, fill from origin
	//  10.00s request 6: attempt to A, fill from P
}
