package sharedstore

import (
	"fmt"
	"testing"
	"time"
)

func TestSlowStartBudget(t *testing.T) {
	if err := checkSlowStartBudget(nil); err != nil {
		t.Error(err)
	}
}

// checkSlowStartBudget verifies that a store that has just started receives no more commands than its budget allows,
// however many requests there are.
func checkSlowStartBudget(plantFault func(*Coordinator)) error {
	sim := newSimulation(seededDraw(3), plantFault)
	sim.isFaultFree = true
	sim.handle(&Event{Kind: EventConnected, Endpoint: testStore, RunID: 2})
	sim.commands = nil
	startedAt := sim.now
	for sim.now < startedAt+testSettings().SlowStartDuration {
		sim.request(testParent, 300*ms, 0)
		sim.advance(ms)
		for len(sim.pending) > 0 {
			sim.reply(0)
		}
	}
	for i, from := range sim.commands {
		count := 0
		for _, at := range sim.commands[i:] {
			if at < from+time.Second {
				count++
			}
		}
		if allowed := allowedCommands(from - startedAt); float64(count) > allowed {
			return fmt.Errorf("%d commands in the second from %v on, want at most %.0f", count, from-startedAt, allowed)
		}
	}
	if len(sim.commands) < 200 {
		return fmt.Errorf("only %d commands during the slow start, want at least 200", len(sim.commands))
	}
	return sim.err
}

// allowedCommands returns how many commands one router may send in the second that begins at the given age of a store.
func allowedCommands(age time.Duration) float64 {
	settings := testSettings()
	capacity := 0.0
	for offset := time.Duration(0); offset < time.Second; offset += 100 * ms {
		progress := (age + offset).Seconds() / settings.SlowStartDuration.Seconds()
		warmFraction := settings.SlowStartShare + (1-settings.SlowStartShare)*progress
		capacity += settings.Capacity / 10 * min(1, warmFraction)
	}
	return capacity / float64(settings.Routers)
}
