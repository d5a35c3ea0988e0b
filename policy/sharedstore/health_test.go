package sharedstore

import (
	"fmt"
	"testing"
	"time"
)

var healthSignalTests = []struct {
	name    string
	from    health
	signals []healthSignal
	want    healthState
	probeIn time.Duration // after the last signal
}{
	{"a warm store is ready immediately", health{}, []healthSignal{signalConnected}, healthReady, 0},
	{"a new store warms up", health{}, []healthSignal{signalStarted}, healthWarmingUp, 0},
	{"a store is ready after its slow start", health{}, []healthSignal{signalStarted, signalWarm}, healthReady, 0},
	{
		"a failure of a ready store starts the backoff",
		health{state: healthReady},
		[]healthSignal{signalDisconnected},
		healthUnavailable, minBackoff,
	},
	{
		"late gets make a store slow",
		health{state: healthReady},
		[]healthSignal{signalLate},
		healthSlow, minBackoff,
	},
	{
		"a failed probe doubles the backoff",
		health{state: healthReady},
		[]healthSignal{signalLate, signalBackoffOver, signalLate},
		healthSlow, 2 * minBackoff,
	},
	{
		"the backoff is bounded",
		health{state: healthProbing, backoff: maxBackoff},
		[]healthSignal{signalLate},
		healthSlow, maxBackoff,
	},
	{
		"a running backoff continues",
		health{state: healthSlow, backoff: minBackoff},
		[]healthSignal{signalDisconnected},
		healthUnavailable, 0,
	},
	{
		"a probe in time makes a store ready",
		health{state: healthReady},
		[]healthSignal{signalLate, signalBackoffOver, signalInTime},
		healthReady, 0,
	},
}

func TestHealthSignals(t *testing.T) {
	for _, test := range healthSignalTests {
		t.Run(test.name, func(t *testing.T) {
			store, probeIn := test.from, time.Duration(0)
			for _, signal := range test.signals {
				_, probeIn = store.handle(signal)
			}
			if store.state != test.want || probeIn != test.probeIn {
				t.Errorf("state %v, probe in %v, want %v, probe in %v", store.state, probeIn, test.want, test.probeIn)
			}
		})
	}
}

func TestProbingAdmitsOneGet(t *testing.T) {
	store := health{state: healthProbing}
	if store.admit(&operation{id: 1}) {
		t.Error("an operation without a source is admitted as the probe")
	}
	if !store.admit(&operation{id: 2, source: testParent}) {
		t.Error("no probe is admitted")
	}
	if store.admit(&operation{id: 3, source: testParent}) {
		t.Error("a second probe is admitted")
	}
}

func TestLateGetsAreSlowOnlyAfterAWhile(t *testing.T) {
	store := health{state: healthReady}
	for i := range 2 * lateGetsUntilSlow {
		if store.recordLate(time.Second, OperationID(i+1)) {
			t.Fatal("late gets at a single moment make a store slow")
		}
	}
	if !store.recordLate(time.Second+minLatePeriod, 100) {
		t.Error("late gets over minLatePeriod do not make a store slow")
	}
}

func TestSlowStore(t *testing.T) {
	if err := checkSlowStore(nil); err != nil {
		t.Error(err)
	}
}

// checkSlowStore verifies that a store that stops answering soon becomes slow, and is used again after it recovers.
func checkSlowStore(plantFault func(*Coordinator)) error {
	sim := newSimulation(seededDraw(2), plantFault)
	sim.isFaultFree = true
	for i := 0; sim.store().health.state != healthSlow; i++ {
		if i > 3*lateGetsUntilSlow {
			return fmt.Errorf("after %d gets without a reply the store is %s, want slow", i, sim.store().health.state)
		}
		sim.request(testParent, 400*ms, 0)
		sim.advance(30 * ms)
	}
	sim.finish()
	return sim.err
}
