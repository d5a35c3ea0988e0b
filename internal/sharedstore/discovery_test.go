package sharedstore

import (
	"testing"
	"time"

	"fennelarch/internal/engine"

	decide "fennelarch/policy/sharedstore"
)

// What discovery says of its completeness decides the range that is written into the log of a store.
func TestDiscoveryCompletenessReachesLog(t *testing.T) {
	f := newUnconnectedFixture(t)
	startedAt := f.startedAt.UnixMilli()

	f.DiscoveryCurrent(f.startedAt.Add(300 * time.Millisecond))
	f.DiscoveryCurrent(f.startedAt.Add(200 * time.Millisecond)) // an older answer takes nothing back
	update := f.planLogUpdate()
	if from, to := int64(update.CompleteFrom)-startedAt, int64(update.CompleteTo)-startedAt; from != 0 || to != 300 {
		t.Errorf("the range is from %d to %d ms after the start, want 0 to 300", from, to)
	}

	earliest := time.Now().UnixMilli()
	f.DiscoveryGap()
	latest := time.Now().UnixMilli()
	update = f.planLogUpdate()
	from, to := int64(update.CompleteFrom), int64(update.CompleteTo)
	if from < earliest-1 || from > latest+1 || to != from {
		t.Errorf("after a gap the range is from %d to %d, want both at %d to %d", from, to, earliest, latest)
	}
}

// planLogUpdate is what is written to a store without a log.
func (f *fixture) planLogUpdate() decide.LogUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.coordinator.PlanLogUpdate(f.now(), engine.EndpointID(storeUID), decide.LogRange{})
}
