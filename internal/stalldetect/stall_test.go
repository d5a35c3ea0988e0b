package stalldetect

import (
	"context"
	"testing"
	"time"
)

// Beats in time are no stall; one that is late is, and says how old what was read just after it may be.
func TestEarliest(t *testing.T) {
	w := New()
	at := func(ms int) time.Time { return w.start.Add(time.Duration(ms) * time.Millisecond) }
	for ms := 20; ms <= 100; ms += 20 {
		if lasted := w.Beat(at(ms)); lasted != 0 {
			t.Fatalf("a stall of %v at %d ms", lasted, ms)
		}
	}
	for _, c := range []struct {
		name              string
		empty, begun, now int
		want              int
	}{
		{"a call that waited", 0, 10, 110, 110},
		{"what lay there already", 40, 109, 109, 40},
		{"read before the late beat", 50, 60, 700, 100},
		{"the queue was seen empty during the stall", 650, 660, 700, 650},
	} {
		if got := w.Earliest(at(c.empty), at(c.begun), at(c.now)); !got.Equal(at(c.want)) {
			t.Errorf("%s: %v, not %d ms", c.name, got.Sub(w.start), c.want)
		}
	}
	if lasted := w.Beat(at(700)); lasted != 600*time.Millisecond {
		t.Errorf("a stall of %v", lasted)
	}
	w.Beat(at(720))
	if got := w.Earliest(at(50), at(60), at(705)); !got.Equal(at(100)) {
		t.Errorf("just after a stall: %v", got.Sub(w.start))
	}
	w.Beat(at(740))
	w.Beat(at(760))
	w.Beat(at(780))
	if got := w.Earliest(at(50), at(60), at(790)); !got.Equal(at(790)) {
		t.Errorf("long after a stall: %v", got.Sub(w.start))
	}
	if !w.Since(at(300), at(790)) || w.Since(at(750), at(790)) {
		t.Error("Since does not tell when the stall was")
	}
}

// Nobody waits but just after a stall. A watch that there is not never stalls.
func TestSettle(t *testing.T) {
	var none *Watch
	now := time.Now()
	if none.Settle() || !none.Earliest(now, now, now).Equal(now) || none.Since(now, now) {
		t.Error("a watch that there is not tells of a stall")
	}
	w := New()
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx, func(time.Duration) {})
	}()
	time.Sleep(3 * beatEvery)
	if w.Settle() {
		t.Error("it waits without a stall")
	}
	end()
	<-done
	time.Sleep(2 * lateAfter)
	if begun := time.Now(); !w.Settle() || time.Since(begun) < settleFor-time.Millisecond {
		t.Error("it does not wait after a stall")
	}
}
