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
