package routing

import (
	"testing"
	"time"
)

func TestObjectHistoryFindsWhatItRecorded(t *testing.T) {
	history := newObjectHistory()
	if history.find(7) != nil {
		t.Error("found a record of an unknown object")
	}
	record := history.ensure(7)
	if record.holder != noEndpoint || history.find(7) != record || history.ensure(7) != record {
		t.Error("the new record was not found again")
	}
	history.ensure(7 + historySize) // takes the slot of object 7
	if history.find(7) != nil {
		t.Error("a replaced record is still found")
	}
}

func TestObjectIsCachedWhereItWasAnswered(t *testing.T) {
	record := objectRecord{holder: 3, seenAt: time.Minute}
	for name, test := range map[string]struct {
		index          endpointIndex
		startedAt, now time.Duration
		want           bool
	}{
		"at the holder":          {3, 0, time.Minute + time.Second, true},
		"at another endpoint":    {2, 0, time.Minute + time.Second, false},
		"too long ago":           {3, 0, time.Minute + expectedCacheTime, false},
		"holder restarted since": {3, time.Minute + 1, time.Minute + time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := record.isCachedAt(test.index, test.startedAt, test.now); got != test.want {
				t.Errorf("unexpected result %v of isCachedAt", got)
			}
		})
	}
}

func TestRequestCounterIsBounded(t *testing.T) {
	var record objectRecord
	for range 1000 {
		record.countRequest()
	}
	if record.requests != maxCountedRequests {
		t.Errorf("got a count of %d requests, want maxCountedRequests", record.requests)
	}
}
