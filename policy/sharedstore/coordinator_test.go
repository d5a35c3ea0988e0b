package sharedstore

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fennelarch/policy/routing"

	"pgregory.net/rapid"
)

// simulate runs a simulation of the given number of steps to its end.
func simulate(draw func(int) int, steps int, plantFault func(*Coordinator)) *simulation {
	sim := newSimulation(draw, plantFault)
	for i := 0; i < steps && sim.err == nil; i++ {
		sim.step()
	}
	if sim.err == nil {
		sim.finish()
	}
	return sim
}

func seededDraw(seed uint64) func(int) int {
	random := rand.New(rand.NewPCG(seed, 5))
	return func(n int) int { return random.IntN(n) }
}

// Events in any order break no rule: each operation ends exactly once, nothing stays in flight, no command goes to a
// draining store, no fill to a source past its grace, no copy from before a purge is served, and no health state is a
// dead end.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := rapid.IntRange(10, 400).Draw(t, "steps")
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }
		if sim := simulate(draw, steps, nil); sim.err != nil {
			t.Fatal(sim.err)
		}
	})
}

// A lease whose holder crashed makes no request miss its objective, as long as a fill fits before the objective.
func TestLeaseHolderDies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(seededDraw(1), nil)
		sim.isFaultFree = true
		fillTime := time.Duration(rapid.IntRange(5, 60).Draw(t, "fill")) * ms
		for range 30 {
			sim.coordinator.fillTime.add(fillTime)
		}
		objective := fillTime*time.Duration(rapid.IntRange(3, 12).Draw(t, "due")) + 20*ms
		request := sim.request(testParent, objective, 0)
		for range 10000 {
			if request.completions > 0 {
				break
			}
			replyWithLeaseHeld(sim, request, fillTime)
			sim.advance(ms / 2)
		}
		if request.completions == 0 || sim.now > request.objective {
			t.Fatalf("%d completions after %v, want one within %v", request.completions, sim.now-request.startedAt, objective)
		}
	})
}

// replyWithLeaseHeld answers everything in flight. Another router holds the lease, and each fill takes fillTime.
func replyWithLeaseHeld(sim *simulation, request *simulatedRequest, fillTime time.Duration) {
	for i := 0; i < len(sim.pending); i++ {
		pending := sim.pending[i]
		switch {
		case pending.action.Kind == ActionAcquireLease:
			sim.leases[copyKey{request.object, 0}] = sim.now + time.Hour
			sim.reply(i)
		case pending.action.Kind != ActionStartFill || sim.now-pending.sentAt >= fillTime:
			sim.reply(i)
		}
	}
}

// firstFault simulates one seed after the other until one shows a fault.
func firstFault(seeds int, plantFault func(*Coordinator)) error {
	for seed := range uint64(seeds) {
		if sim := simulate(seededDraw(seed), 300, plantFault); sim.err != nil {
			return fmt.Errorf("seed %d: %w", seed, sim.err)
		}
	}
	return errors.Join(checkSlowStartBudget(plantFault), checkSlowStore(plantFault))
}

// The checks of the simulation detect faults: with a fault in the health transitions or the budget, one of them fails.
// TestTracesCoverTransitions covers the transitions of operations.
func TestSimulationFindsPlantedFaults(t *testing.T) {
	if err := firstFault(60, nil); err != nil {
		t.Fatal(err)
	}
	unlimitedBudget := func(c *Coordinator) { c.slowStartMargin = 100 }
	if firstFault(60, unlimitedBudget) == nil {
		t.Error("no check detects a slow start without a budget")
	}
	for name, plant := range map[string]func(){
		"unavailable is a dead end": func() {
			healthTransitions[healthUnavailable] = [healthSignals]healthState{}
		},
		"slow is a dead end": func() {
			healthTransitions[healthSlow][signalBackoffOver] = healthSlow
		},
		"probing is a dead end": func() {
			healthTransitions[healthProbing][signalInTime] = healthProbing
		},
	} {
		t.Run(name, func(t *testing.T) {
			original := healthTransitions
			defer func() { healthTransitions = original }()
			plant()
			if firstFault(60, nil) == nil {
				t.Error("no check detects the fault")
			}
		})
	}
}

func BenchmarkHit(b *testing.B) {
	coordinator := New(testSettings(), 1, testStore)
	coordinator.Handle(0, &Event{Kind: EventConnected, Endpoint: testStore, RunID: 1, Uptime: time.Hour}, nil)
	actions := make([]Action, 0, 16)
	now := time.Minute
	id := OperationID(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now += 10 * time.Microsecond
		actions = coordinator.Handle(now, &Event{
			Kind: EventRequest, Operation: id, Endpoint: testStore, Source: testParent, Object: routing.ObjectID(id%1000 + 1),
			UntilObjective: 400 * ms, UntilDeadline: time.Second,
		}, actions[:0])
		actions = coordinator.Handle(now, &Event{
			Kind: EventGetDone, Operation: id, Endpoint: testStore, Reply: ReplyHit, GeneratedAt: epoch + 50_000,
			ValidFrom: epoch + 50_000, Elapsed: 300 * time.Microsecond,
		}, actions[:0])
	}
}
