package engine

import (
	"testing"
	"time"

	"fennelarch/policy/notification"
	"fennelarch/policy/routing"
)

// TestLocalCopiesDuringAnOutageOfDiscovery guards against answers from the local cache that are older than a purge
// which counts as notified 7 s after its publication, though discovery is down and has not delivered it.
func TestLocalCopiesDuringAnOutageOfDiscovery(t *testing.T) {
	report := func(kind notification.ReportKind) func(engine *checkedEngine) {
		return func(engine *checkedEngine) {
			engine.send(DiscoveryReport{Kind: kind, At: engine.start.Add(engine.elapsed), Hold: 2 * time.Second})
		}
	}
	for _, test := range []struct {
		name     string
		reports  []func(engine *checkedEngine)
		wait     time.Duration // until the copy is asked for, then
		isServed bool
	}{
		{"down for less than 7 s and the grace", nil, 7900 * time.Millisecond, true},
		{"down for longer", nil, 8100 * time.Millisecond, false},
		{"all purges are known", []func(*checkedEngine){report(notification.Current)}, time.Second, true},
		{"response broken off", []func(*checkedEngine){report(notification.PollBroken)}, 3100 * time.Millisecond, false},
		{
			"silent",
			[]func(*checkedEngine){report(notification.PollSent), report(notification.PollOverdue)},
			5100 * time.Millisecond, false,
		},
		{"an event was lost", []func(*checkedEngine){report(notification.EventsLost)}, time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine := newCheckedEngine(t, test.name, LocalCacheSettings{
				MaxBytes: 1300, FlowBytesPerSecond: 1000, LinkBytesPerSecond: 1000, MaxTransferTime: time.Second,
			})
			engine.send(engine.newRequest(1, idempotentClass, 3*time.Second))
			engine.deliverResult(0, routing.Succeeded, routing.NoteHit)
			engine.advance(time.Millisecond)
			for _, report := range test.reports {
				report(engine)
			}
			engine.advance(test.wait)
			if got := engine.askWhileOverloaded(); got != test.isServed {
				t.Errorf("the copy is served: %v, want %v", got, test.isServed)
			}
			engine.send(DiscoveryReport{Kind: notification.Current, At: engine.start.Add(engine.elapsed)})
			if got := engine.askWhileOverloaded(); got != (test.name != "an event was lost") {
				t.Errorf("once all purges are known, the copy is served: %v", got)
			}
		})
	}
}

// askWhileOverloaded sends a request that only the local cache can answer, and reports whether it was served.
func (e *checkedEngine) askWhileOverloaded() bool {
	e.isClosed = false
	before, first := len(e.statuses), len(e.attempts)
	e.send(e.newRequest(routing.RequestID(100+first), idempotentClass, 3*time.Second))
	for i := first; i < len(e.attempts) && len(e.statuses) == before; i++ {
		e.deliverResult(i, routing.Overloaded, 0)
	}
	return len(e.statuses) == before+1 && e.statuses[before] == StatusOK
}
