package stalldetect

import (
	"context"
	"testing"
	"time"
)

// watchTest is a Watch whose beats the test triggers. Times are in milliseconds since the start of the Watch.
type watchTest struct {
	*Watch
	t *testing.T
}

func newWatchTest(t *testing.T) watchTest {
	t.Helper()
	return watchTest{New(), t}
}

// at returns the time at a number of milliseconds after the start.
func (w watchTest) at(ms int) time.Time { return w.start.Add(time.Duration(ms) * time.Millisecond) }

// beat triggers a beat at a time and checks the duration of the stall that it reports.
func (w watchTest) beat(ms int, want time.Duration) {
	w.t.Helper()
	if duration := w.Beat(w.at(ms)); duration != want {
		w.t.Errorf("beat reported a stall of %v at %d ms, want %v", duration, ms, want)
	}
}

// beatUntil triggers beats at the normal interval, none of which reports a stall.
func (w watchTest) beatUntil(from, until int) {
	w.t.Helper()
	for ms := from; ms <= until; ms += 20 {
		w.beat(ms, 0)
	}
}

// Data that is read during a stall may have arrived as early as the last beat before the stall.
func TestEarliestDuringStall(t *testing.T) {
	w := newWatchTest(t)
	w.beatUntil(20, 100)
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
			got := w.EarliestArrival(w.at(testCase.emptyAt), w.at(testCase.callStart), w.at(testCase.now))
			if !got.Equal(w.at(testCase.want)) {
				t.Errorf("earliest arrival is %v after the start, want %d ms", got.Sub(w.start), testCase.want)
			}
		})
	}
}

// A late beat ends a stall. For a while after the stall, data may still have arrived as early as its beginning.
func TestEarliestAfterStall(t *testing.T) {
	w := newWatchTest(t)
	w.beatUntil(20, 100)
	w.beat(700, 600*time.Millisecond)
	w.beat(720, 0)
	if got := w.EarliestArrival(w.at(50), w.at(60), w.at(705)); !got.Equal(w.at(100)) {
		t.Errorf("earliest arrival just after a stall is %v after the start", got.Sub(w.start))
	}
	w.beatUntil(740, 780)
	if got := w.EarliestArrival(w.at(50), w.at(60), w.at(790)); !got.Equal(w.at(790)) {
		t.Errorf("earliest arrival long after a stall is %v after the start", got.Sub(w.start))
	}
}

func TestSinceTellsWhenTheStallWas(t *testing.T) {
	w := newWatchTest(t)
	w.beatUntil(20, 100)
	w.beat(700, 600*time.Millisecond)
	w.beatUntil(720, 780)
	if !w.StalledSince(w.at(300), w.at(790)) {
		t.Error("stall since the moment is not reported")
	}
	if w.StalledSince(w.at(750), w.at(790)) {
		t.Error("stall before the moment is reported")
	}
}

func TestNilWatchNeverStalls(t *testing.T) {
	var nilWatch *Watch
	now := time.Now()
	if nilWatch.Settle() || !nilWatch.EarliestArrival(now, now, now).Equal(now) || nilWatch.StalledSince(now, now) {
		t.Error("nil Watch reports a stall")
	}
}

// Settle waits just after a stall and at no other time.
func TestSettle(t *testing.T) {
	w := New()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx, func(time.Duration) {})
	}()
	time.Sleep(3 * beatInterval)
	if w.Settle() {
		t.Error("Settle waits without a stall")
	}
	cancel()
	<-done
	time.Sleep(2 * stallThreshold)
	if start := time.Now(); !w.Settle() || time.Since(start) < settleTime-time.Millisecond {
		t.Error("Settle does not wait after a stall")
	}
}
