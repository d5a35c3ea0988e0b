package sharedstore

import (
	"testing"
	"time"

	"fennelarch/internal/engine"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"fennelarch/policy/notification"

	policy "fennelarch/policy/sharedstore"
)

// The completeness that discovery reports determines the range that is written to the log of a store.
func TestDiscoveryCompletenessReachesLog(t *testing.T) {
	f := newUnconnectedFixture(t)
	startedAt := f.startedAt.UnixMilli()

	f.reportCurrent(f.startedAt.Add(300 * time.Millisecond))
	f.reportCurrent(f.startedAt.Add(200 * time.Millisecond)) // an older time does not shorten the range
	update := f.planLogUpdate()
	if from, to := int64(update.CompleteFrom)-startedAt, int64(update.CompleteTo)-startedAt; from != 0 || to != 300 {
		t.Errorf("the range is from %d to %d ms after the start, want 0 to 300", from, to)
	}

	earliest := time.Now().UnixMilli()
	f.ObserveDiscovery(engine.DiscoveryReport{Kind: notification.EventsLost, At: time.Now()})
	latest := time.Now().UnixMilli()
	update = f.planLogUpdate()
	from, to := int64(update.CompleteFrom), int64(update.CompleteTo)
	if from < earliest-1 || from > latest+1 || to != from {
		t.Errorf("after a gap the range is from %d to %d, want both at %d to %d", from, to, earliest, latest)
	}
}

// reportCurrent reports that all events published before a time have been delivered.
func (f *fixture) reportCurrent(asOf time.Time) {
	f.ObserveDiscovery(engine.DiscoveryReport{Kind: notification.Current, At: asOf})
}

// planLogUpdate returns the update for a store without a log.
func (f *fixture) planLogUpdate() policy.LogUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.coordinator.PlanLogUpdate(f.now(), engine.EndpointID(storeUID), policy.LogRange{})
}

// A store that loses its data without a restart goes through slow start again, which is logged.
func TestLossOfDataIsReported(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	f := newFixture(t, zap.New(core))
	until := time.Now().Add(5 * time.Second)
	for lines.FilterMessageSnippet("store warming up").Len() == 0 {
		if time.Now().After(until) {
			t.Fatal("the loss of data is not logged within 5 s")
		}
		for range 10 { // the log is written, and read again after the loss
			f.reportCurrent(time.Now())
			f.ObserveDiscovery(engine.Purge{Object: 77, Issued: time.Now()})
			time.Sleep(5 * time.Millisecond)
		}
		f.redis.Flush()
	}
}
