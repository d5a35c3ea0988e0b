package discovery

import (
	"context"
	"testing"
	"time"
)

func TestBackoffDoublesUpToTheLongest(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel() // wait returns at once
	pause := newBackoff(50*time.Millisecond, 150*time.Millisecond)
	for _, want := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond} {
		if pause.next != want {
			t.Errorf("next pause is %v, want %v", pause.next, want)
		}
		pause.wait(ended)
	}
	if pause.next != pause.longest {
		t.Errorf("next pause is %v, want the longest", pause.next)
	}
	pause.reset()
	if pause.next != pause.shortest {
		t.Errorf("after a reset the next pause is %v, want the shortest", pause.next)
	}
}

func TestBackoffPausesWithJitter(t *testing.T) {
	const next = 10 * time.Millisecond
	pause := newBackoff(next, next)
	start := time.Now()
	pause.wait(context.Background())
	if elapsed := time.Since(start); elapsed < next/2 {
		t.Errorf("wait took %v, want at least half of %v", elapsed, next)
	}
}
