package sharedstore

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// unlimitedGap is a value of maxGap that plants a fault: any two ranges count as contiguous.
const unlimitedGap Timestamp = 1 << 60

func newLogCoordinator() *Coordinator {
	settings := testSettings()
	settings.PurgeCompleteAfter = 0
	return New(settings, 1, testStore)
}

// A router that starts late takes over the store's log once an older router has moved the end of the log's range past
// the start of the younger router.
func ExampleCoordinator_PlanLogUpdate() {
	older, younger := newLogCoordinator(), newLogCoordinator()
	younger.invalidations.completeFrom, younger.invalidations.completeTo = epoch+60_000, epoch+60_000
	show := func(who string, update LogUpdate) {
		fmt.Printf("%s: needs all %v, entries %d, from %d, to %d\n", who, update.ReadAll, len(update.Invalidations),
			max(0, update.CompleteFrom-epoch), max(0, update.CompleteTo-epoch))
	}
	older.RecordInvalidation(30*time.Second, Invalidation{Object: 7, IssuedAt: epoch + 30_000})
	older.RecordDiscoveryCurrent(epoch + 50_000)
	show("older, the store has no log", older.PlanLogUpdate(50*time.Second, testStore, LogRange{}))
	stored := LogRange{epoch, epoch + 50_000}
	show("younger, too early", younger.PlanLogUpdate(61*time.Second, testStore, stored))
	older.RecordDiscoveryCurrent(epoch + 62_000)
	show("older extends the range", older.PlanLogUpdate(62*time.Second, testStore, stored))
	stored.CompleteTo = epoch + 62_000
	show("younger", younger.PlanLogUpdate(63*time.Second, testStore, stored))
	fmt.Println("before the merge, a copy from before the start is proved:",
		younger.invalidations.provesCurrent(8, 0, epoch+40_000, 0))
	younger.MergeInvalidations(63*time.Second, testStore, []Invalidation{{Object: 7, IssuedAt: epoch + 30_000}})
	fmt.Println("after the merge:", younger.invalidations.provesCurrent(8, 0, epoch+40_000, 0),
		"and a copy from before a purge:", younger.invalidations.provesCurrent(7, 0, epoch+20_000, 0))
	// Output:
	// older, the store has no log: needs all false, entries 1, from 0, to 50000
	// younger, too early: needs all false, entries 0, from 0, to 0
	// older extends the range: needs all false, entries 1, from 0, to 62000
	// younger: needs all true, entries 0, from 0, to 0
	// before the merge, a copy from before the start is proved: false
	// after the merge: true and a copy from before a purge: false
}

// After the wall clock is set back or forward by an hour, no copy stored before is proved, whichever purge follows. A
// copy stored later is proved once the clock has passed both readings. No range is written that ends in the future.
func TestClockStep(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			now := 10 * time.Minute
			old := epoch + Timestamp((now-time.Minute)/ms)
			coordinator := newLogCoordinator()
			coordinator.invalidations.completeFrom, coordinator.invalidations.completeTo = epoch, epoch
			connected := Event{Kind: EventConnected, Endpoint: testStore, RunID: 1, Uptime: time.Hour}
			coordinator.Handle(0, &connected, nil)
			coordinator.now = now
			coordinator.RecordDiscoveryCurrent(epoch + Timestamp(now/ms))
			if !isProved(coordinator, old, old) {
				t.Fatal("a copy is not proved before the clock steps")
			}
			coordinator.RecordClockStep(now, step)
			if coordinator.wallClock() != epoch+Timestamp((now+step)/ms) {
				t.Errorf("the wall clock is %d ms past the epoch, want 10 minutes plus the step", coordinator.wallClock()-epoch)
			}
			purge := Invalidation{Object: modelObject, IssuedAt: coordinator.wallClock()}
			coordinator.RecordInvalidation(now, purge)
			for _, validFrom := range []Timestamp{0, old} {
				if isProved(coordinator, old, validFrom) {
					t.Error("a copy from before a purge is proved")
				}
			}
			update := coordinator.PlanLogUpdate(now+takeoverDelay+time.Second, testStore, LogRange{})
			if update.CompleteTo > coordinator.wallClock()+maxClockSkew {
				t.Errorf("the written range ends %d ms in the future, want at most maxClockSkew",
					update.CompleteTo-coordinator.wallClock())
			}
			coordinator.now = now + time.Hour + time.Minute
			if generatedAt := coordinator.wallClock(); !isProved(coordinator, generatedAt, generatedAt) {
				t.Error("a copy from after the step is not proved")
			}
		})
	}
}

// A store whose log is gone has lost its data and warms up again. A store whose log has an end, however early, has not.
func TestLossOfLog(t *testing.T) {
	for _, test := range []struct {
		name       string
		completeTo Timestamp
		wantHealth healthState
	}{
		{"extended", epoch + 1, healthReady},
		{"rolled back", epoch - 1, healthReady},
		{"an end before the Unix epoch", -1, healthReady},
		{"gone", 0, healthWarmingUp},
	} {
		t.Run(test.name, func(t *testing.T) {
			coordinator := newLogCoordinator()
			coordinator.settings.Capacity = 0 // a start is announced only where the capacity is not known
			connected := Event{Kind: EventConnected, Endpoint: testStore, RunID: 1, Uptime: time.Hour}
			coordinator.Handle(0, &connected, nil)
			coordinator.PlanLogUpdate(time.Second, testStore, LogRange{CompleteTo: epoch})
			update := coordinator.PlanLogUpdate(2*time.Second, testStore, LogRange{CompleteTo: test.completeTo})
			if update.IsDataLost != (test.wantHealth == healthWarmingUp) {
				t.Errorf("unexpected result %v of IsDataLost", update.IsDataLost)
			}
			if update.IsDataLost {
				lost := Event{Kind: EventDataLost, Endpoint: testStore}
				checkSlowStartIsAnnounced(t, coordinator.Handle(2*time.Second, &lost, nil))
			}
			if health := coordinator.stores[0].health.state; health != test.wantHealth {
				t.Errorf("the store is %v, want %v", health, test.wantHealth)
			}
		})
	}
}

// isProved reports whether a copy of the model's object would be served.
func isProved(coordinator *Coordinator, generatedAt, validFrom Timestamp) bool {
	return coordinator.invalidations.provesCurrent(modelObject, 0, generatedAt, validFrom) &&
		!coordinator.isInFuture(generatedAt, validFrom)
}

// checkSlowStartIsAnnounced checks the actions after a store of unknown capacity lost its data: a timer for the end of
// the slow start, a log line and the announcement of a start.
func checkSlowStartIsAnnounced(t *testing.T, actions []Action) {
	t.Helper()
	for _, want := range []ActionKind{ActionSetTimer, ActionLog, ActionAnnounceStart} {
		isThere := slices.ContainsFunc(actions, func(action Action) bool { return action.Kind == want })
		if !isThere {
			t.Errorf("no action of kind %d among %+v", want, actions)
		}
	}
}
