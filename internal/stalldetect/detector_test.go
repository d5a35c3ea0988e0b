package stalldetect

import (
	"context"
	"testing"
	"time"
)

// detectorTest is a Detector whose beats the test triggers. Times are in milliseconds since the start of the Detector.
type detectorTest struct {
	*Detector
	t *testing.T
}

func newDetectorTest(t *testing.T) detectorTest {
	t.Helper()
	return detectorTest{New(), t}
}

// at returns the time at a number of milliseconds after the start.
func (d detectorTest) at(ms int) time.Time { return d.start.Add(time.Duration(ms) * time.Millisecond) }

// beat triggers a beat at a time and checks the duration of the stall that it reports.
func (d detectorTest) beat(ms int, want time.Duration) {
	d.t.Helper()
	if duration := d.Beat(d.at(ms)); duration != want {
		d.t.Errorf("beat reported a stall of %v at %d ms, want %v", duration, ms, want)
	}
}

// beatUntil triggers beats at the normal interval, none of which reports a stall.
func (d detectorTest) beatUntil(from, until int) {
	d.t.Helper()
	for ms := from; ms <= until; ms += 20 {
		d.beat(ms, 0)
	}
}

// Data that is read during a stall may have arrived as early as the last beat before the stall.
func TestEarliestDuringStall(t *testing.T) {
	detector := newDetectorTest(t)
	detector.beatUntil(20, 100)
	for _, testCase := range []struct {
		name                    string
		emptyAt, callStart, now int
		want                    int
	}{
		{"the call waited", 0, 10, 110, 110},
		{"the data was in the queue before the call", 40, 109, 109, 40},
		{"the call returned before the late beat", 50, 60, 700, 100},
		{"the queue was seen empty during the stall", 650, 660, 700, 650},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			got := detector.EarliestArrival(
				detector.at(testCase.emptyAt), detector.at(testCase.callStart), detector.at(testCase.now))
			if !got.Equal(detector.at(testCase.want)) {
				t.Errorf("earliest arrival is %v after the start, want %d ms", got.Sub(detector.start), testCase.want)
			}
		})
	}
}

// A late beat ends a stall. For a while after the stall, data may still have arrived as early as its beginning.
func TestEarliestAfterStall(t *testing.T) {
	detector := newDetectorTest(t)
	detector.beatUntil(20, 100)
	detector.beat(700, 600*time.Millisecond)
	detector.beat(720, 0)
	if got := detector.EarliestArrival(detector.at(50), detector.at(60), detector.at(705)); !got.Equal(detector.at(100)) {
		t.Errorf("earliest arrival just after a stall is %v after the start, want 100ms", got.Sub(detector.start))
	}
	detector.beatUntil(740, 780)
	if got := detector.EarliestArrival(detector.at(50), detector.at(60), detector.at(790)); !got.Equal(detector.at(790)) {
		t.Errorf("earliest arrival long after a stall is %v after the start, want 790ms", got.Sub(detector.start))
	}
}

// A process that is stopped again just after it was continued has not read what arrived during the first stall. Both
// stalls then count as one, also while the second goes on.
func TestStallsInQuickSuccessionCountAsOne(t *testing.T) {
	for name, test := range map[string]struct {
		secondFrom int // last beat before the second stall
		want       int // earliest arrival
	}{
		"at once":                {700, 100},
		"after a few beats":      {740, 100},
		"after reading had time": {780, 780},
	} {
		t.Run(name, func(t *testing.T) {
			detector := newDetectorTest(t)
			detector.beatUntil(20, 100)
			detector.beat(700, 600*time.Millisecond)
			detector.beatUntil(720, test.secondFrom)
			expectEarliest := func(now int) {
				t.Helper()
				got := detector.EarliestArrival(detector.at(50), detector.at(60), detector.at(now))
				if !got.Equal(detector.at(test.want)) {
					t.Errorf("at %d ms, earliest arrival is %v after the start, want %d ms", now, got.Sub(detector.start), test.want)
				}
			}
			expectEarliest(1000)
			detector.beat(1100, time.Duration(1100-test.secondFrom)*time.Millisecond)
			expectEarliest(1105)
		})
	}
}

func TestSinceTellsWhenTheStallWas(t *testing.T) {
	detector := newDetectorTest(t)
	detector.beatUntil(20, 100)
	detector.beat(700, 600*time.Millisecond)
	detector.beatUntil(720, 780)
	if !detector.StalledSince(detector.at(300), detector.at(790)) {
		t.Error("stall since the moment is not reported")
	}
	if detector.StalledSince(detector.at(750), detector.at(790)) {
		t.Error("stall before the moment is reported")
	}
}

func TestNilWatchNeverStalls(t *testing.T) {
	var none *Detector
	now := time.Now()
	if none.Settle() || !none.EarliestArrival(now, now, now).Equal(now) || none.StalledSince(now, now) {
		t.Error("nil Detector reports a stall")
	}
}

// Settle waits just after a stall and at no other time.
func TestSettle(t *testing.T) {
	detector := New()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		detector.Run(ctx, func(time.Duration) {})
	}()
	time.Sleep(3 * beatInterval)
	if detector.Settle() {
		t.Error("Settle waits without a stall")
	}
	cancel()
	<-done
	time.Sleep(2 * stallThreshold)
	if start := time.Now(); !detector.Settle() || time.Since(start) < settleTime-time.Millisecond {
		t.Error("Settle does not wait after a stall")
	}
}
