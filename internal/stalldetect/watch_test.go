package stalldetect

import (
	"context"
	"testing"
	"time"
)

// watchTest is a watch that beats by hand, at times in milliseconds since its start.
type watchTest struct {
	*Watch
	t *testing.T
}

func newWatchTest(t *testing.T) watchTest {
	t.Helper()
	return watchTest{New(), t}
}

func (w watchTest) at(ms int) time.Time { return w.start.Add(time.Duration(ms) * time.Millisecond) }

// beat beats at a time, and checks the stall that this shows.
func (w watchTest) beat(ms int, want time.Duration) {
	w.t.Helper()
	if lasted := w.Beat(w.at(ms)); lasted != want {
		w.t.Errorf("a stall of %v at %d ms, not %v", lasted, ms, want)
	}
}

// beatUntil beats in time.
func (w watchTest) beatUntil(from, until int) {
	w.t.Helper()
	for ms := from; ms <= until; ms += 20 {
		w.beat(ms, 0)
	}
}

// While the process stalls, what is read may be as old as the last beat before it.
func TestEarliestDuringStall(t *testing.T) {
	w := newWatchTest(t)
	w.beatUntil(20, 100)
	for _, testCase := range []struct {
		name                    string
		emptyAt, callStart, now int
		want                    int
	}{
		{"a call that waited", 0, 10, 110, 110},
		{"what was in the queue already", 40, 109, 109, 40},
		{"read before the late beat", 50, 60, 700, 100},
		{"the queue was seen empty during the stall", 650, 660, 700, 650},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			got := w.EarliestArrival(w.at(testCase.emptyAt), w.at(testCase.callStart), w.at(testCase.now))
			if !got.Equal(w.at(testCase.want)) {
				t.Errorf("%v, not %d ms", got.Sub(w.start), testCase.want)
			}
		})
	}
}

// A late beat ends a stall, which counts for a while after.
func TestEarliestAfterStall(t *testing.T) {
	w := newWatchTest(t)
	w.beatUntil(20, 100)
	w.beat(700, 600*time.Millisecond)
	w.beat(720, 0)
	if got := w.EarliestArrival(w.at(50), w.at(60), w.at(705)); !got.Equal(w.at(100)) {
		t.Errorf("just after a stall: %v", got.Sub(w.start))
	}
	w.beatUntil(740, 780)
	if got := w.EarliestArrival(w.at(50), w.at(60), w.at(790)); !got.Equal(w.at(790)) {
		t.Errorf("long after a stall: %v", got.Sub(w.start))
	}
}

func TestSinceTellsWhenTheStallWas(t *testing.T) {
	w := newWatchTest(t)
	w.beatUntil(20, 100)
	w.beat(700, 600*time.Millisecond)
	w.beatUntil(720, 780)
	if !w.StalledSince(w.at(300), w.at(790)) {
		t.Error("a stall since then is not seen")
	}
	if w.StalledSince(w.at(750), w.at(790)) {
		t.Error("a stall before then is seen")
	}
}

func TestNilWatchNeverStalls(t *testing.T) {
	var none *Watch
	now := time.Now()
	if none.Settle() || !none.EarliestArrival(now, now, now).Equal(now) || none.StalledSince(now, now) {
		t.Error("a nil watch shows a stall")
	}
}

// Settle waits just after a stall, and at no other time.
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
		t.Error("it waits without a stall")
	}
	cancel()
	<-done
	time.Sleep(2 * stallThreshold)
	if begun := time.Now(); !w.Settle() || time.Since(begun) < settleTime-time.Millisecond {
		t.Error("it does not wait after a stall")
	}
}
