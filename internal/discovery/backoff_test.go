package discovery

import (
	"context"
	"testing"
	"time"
)

func TestBackoffDoublesUpToTheLongest(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel() // no pause is waited for
	pause := newBackoff(50*time.Millisecond, 150*time.Millisecond)
	for _, want := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond} {
		if pause.next != want {
			t.Errorf("the pause is %v, not %v", pause.next, want)
		}
		pause.wait(ended)
	}
	if pause.next != pause.longest {
		t.Errorf("the pause is %v, not the longest", pause.next)
	}
	pause.reset()
	if pause.next != pause.shortest {
		t.Errorf("after a reset the pause is %v, not the shortest", pause.next)
	}
}

func TestBackoffPausesWithJitter(t *testing.T) {
	const next = 10 * time.Millisecond
	pause := newBackoff(next, next)
	begun := time.Now()
	pause.wait(context.Background())
	if took := time.Since(begun); took < next/2 {
		t.Errorf("it paused for %v, less than half of %v", took, next)
	}
}
