package sharedstore

import (
	"testing"
	"time"
)

func TestConcurrencyLimitGrowsAndShrinks(t *testing.T) {
	limit := concurrencyLimit{limit: 16, max: 18}
	for range 3 {
		limit.increase()
	}
	if limit.limit != 18 {
		t.Errorf("limit %v after three good replies, want the maximum of 18", limit.limit)
	}
	limit.decrease(errorDecrease, time.Second, 10*ms)
	reduced := limit.limit
	if reduced >= 18 {
		t.Error("an error does not reduce the limit")
	}
	limit.decrease(errorDecrease, time.Second+5*ms, 10*ms)
	if limit.limit != reduced {
		t.Error("two errors of one round trip reduce the limit twice")
	}
	limit.increase()
	if grown := limit.limit - reduced; grown <= 0 || grown >= 1 {
		t.Errorf("a good reply after a reduction adds %v, want more than 0 and less than 1", grown)
	}
}

func TestConcurrencyLimitNeverClosesFully(t *testing.T) {
	limit := concurrencyLimit{limit: 2, max: 2}
	for i := range 20 {
		limit.decrease(errorDecrease, time.Duration(i+1)*time.Second, ms)
	}
	if !limit.hasRoom() {
		t.Error("there is no room for a single command")
	}
	limit.inFlight = 1
	if limit.hasRoom() {
		t.Error("there is room for a command beyond the limit")
	}
}

func TestConcurrencyLimitLeavesHalfToRequests(t *testing.T) {
	limit := concurrencyLimit{limit: 10, max: 10, inFlight: 5}
	if limit.isHalfFree() || !limit.hasRoom() {
		t.Error("with five of ten commands in flight, there must be room for requests but not for sets")
	}
}

// The configured maximum of commands in flight holds from the start, and at once after it has been lowered.
func TestMaxInFlightHoldsFromTheStartAndAfterAChange(t *testing.T) {
	const maxAtStart, maxAfterChange = 5, 2
	settings := testSettings()
	settings.MaxInFlight = maxAtStart
	coordinator := New(settings, 1, testStore)
	store := coordinator.stores[0]
	lastOperation := OperationID(0)
	expectInFlight := func(want int) {
		t.Helper()
		for range 2 * maxAtStart {
			lastOperation++
			event := fillRequestEvent(lastOperation)
			coordinator.Handle(0, &event, nil)
		}
		if store.limit.inFlight != want {
			t.Errorf("%d commands in flight, want %d", store.limit.inFlight, want)
		}
	}
	connected := Event{Kind: EventConnected, Endpoint: testStore, RunID: 1, Uptime: time.Hour}
	coordinator.Handle(0, &connected, nil)
	expectInFlight(maxAtStart)
	for id := range OperationID(maxAtStart) {
		cancel := cancelEvent(id + 1)
		coordinator.Handle(ms, &cancel, nil)
		reply := Event{Kind: EventGetDone, Operation: id + 1, Endpoint: testStore, Reply: ReplyHit, Elapsed: ms}
		coordinator.Handle(ms, &reply, nil)
	}
	settings.MaxInFlight = maxAfterChange
	coordinator.UpdateSettings(settings)
	expectInFlight(maxAfterChange)
}
