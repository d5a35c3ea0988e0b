package discovery

import (
	"testing"
	"time"
)

func TestBackoffDoublesUpToTheLongest(t *testing.T) {
	pause := newBackoff(50*time.Millisecond, 150*time.Millisecond)
	for _, want := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond} {
		if pause.upcoming != want {
			t.Errorf("next pause is %v, want %v", pause.upcoming, want)
		}
		pause.next()
	}
	if pause.upcoming != pause.longest {
		t.Errorf("next pause is %v, want the longest", pause.upcoming)
	}
	pause.reset()
	if pause.upcoming != pause.shortest {
		t.Errorf("after a reset the next pause is %v, want the shortest", pause.upcoming)
	}
}

func TestBackoffPausesWithJitter(t *testing.T) {
	const upcoming = 10 * time.Millisecond
	pause := newBackoff(upcoming, upcoming)
	for range 1000 {
		if next := pause.next(); next < upcoming/2 || next >= upcoming*3/2 {
			t.Errorf("a pause of %v, want %v plus or minus half", next, upcoming)
		}
	}
}
