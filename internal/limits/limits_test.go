package limits

import (
	"testing"
	"time"
)

func TestDescriptorsLeaveReserve(t *testing.T) {
	for _, sockets := range []int{32, 256, 1024, 65536} {
		lim := Derive(Inputs{Sockets: sockets})
		if used := lim.ClientConnections + lim.RejectedConnections + lim.UpstreamConnections; used > sockets*9/10 {
			t.Errorf("connections may use %d of %d descriptors", used, sockets)
		}
	}
}

// Shutdown ends before the platform kills the router. The platform waits for the longest deadline, or 3 s if that is
// shorter, plus 0.7 s.
func TestShutdownEndsBeforeThePlatformKills(t *testing.T) {
	for _, deadline := range []time.Duration{0, 500 * time.Millisecond, 3 * time.Second, 20 * time.Second} {
		lim := Derive(Inputs{LongestDeadline: deadline})
		killed := min(deadline, 3*time.Second) + 700*time.Millisecond
		if ends := lim.ShutdownGrace + lim.FlushTimeout; ends >= killed {
			t.Errorf("with a deadline of %v, shutdown ends after %v and the kill comes after %v", deadline, ends, killed)
		}
	}
}

func TestAttemptsStartWithinTheShorterGrace(t *testing.T) {
	for name, test := range map[string]struct {
		drain, purge, want time.Duration
	}{
		"drain":    {time.Second, 5 * time.Second, 900 * time.Millisecond},
		"purge":    {5 * time.Second, time.Second, 900 * time.Millisecond},
		"no purge": {5 * time.Second, 0, 4500 * time.Millisecond},
		"neither":  {0, 0, 1800 * time.Millisecond}, // two connect timeouts
	} {
		t.Run(name, func(t *testing.T) {
			lim := Derive(Inputs{DrainGrace: test.drain, PurgeGrace: test.purge})
			if lim.AttemptStartWithin != test.want {
				t.Errorf("got %v, want %v", lim.AttemptStartWithin, test.want)
			}
		})
	}
}
