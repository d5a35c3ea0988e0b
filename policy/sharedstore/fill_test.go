package sharedstore

import (
	"testing"
	"time"

	"fennelarch/policy/routing"
)

// A fill that outlives the listing of its source is counted to its end, also where the source has come back meanwhile.
func TestFillsOfDepartedSource(t *testing.T) {
	endpointState := func(state routing.EndpointState) Event {
		return Event{Kind: EventEndpointState, Endpoint: parentP, State: state}
	}
	request := func(id OperationID) Event {
		return Event{
			Kind: EventRequest, Operation: id, Endpoint: storeS, Source: parentP, Object: routing.ObjectID(id),
			UntilObjective: time.Second, UntilDeadline: 2 * time.Second,
		}
	}
	getFailed := func(id OperationID) Event {
		return Event{Kind: EventGetDone, Operation: id, Endpoint: storeS, Reply: ReplyDisconnected}
	}
	cancel := func(id OperationID) Event { return Event{Kind: EventCancel, Operation: id} }
	filled := func(id OperationID) Event {
		return Event{Kind: EventFillDone, Operation: id, Outcome: routing.Succeeded, Note: routing.NoteFilled}
	}
	ready, gone := endpointState(routing.Ready), endpointState(routing.Gone)
	for _, test := range []struct {
		name       string
		events     []Event
		wantFills  int
		wantLimits int
	}{
		{"a fill", []Event{request(1), getFailed(1)}, 1, 1},
		{"its source has gone", []Event{request(1), getFailed(1), gone}, 1, 1},
		{"cancelled after that", []Event{request(1), getFailed(1), gone, cancel(1)}, 0, 0},
		{"filled after that", []Event{request(1), getFailed(1), gone, filled(1)}, 0, 0},
		{"the source is back", []Event{request(1), getFailed(1), gone, ready, request(2), getFailed(2)}, 2, 1},
		{
			"the first ends then",
			[]Event{request(1), getFailed(1), gone, ready, request(2), getFailed(2), cancel(1)},
			1, 1,
		},
		{"no fill was in flight", []Event{request(1), getFailed(1), filled(1), gone}, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			coordinator := New(testSettings(), 1, storeS)
			connected := Event{Kind: EventConnected, Endpoint: storeS, RunID: 1, Uptime: time.Hour}
			for i, event := range append([]Event{connected, ready}, test.events...) {
				coordinator.Handle(time.Duration(i)*ms, &event, nil)
			}
			fills := 0
			for _, limit := range coordinator.fillLimits {
				fills += limit.inFlight
			}
			if fills != test.wantFills || len(coordinator.fillLimits) != test.wantLimits {
				t.Errorf("%d fills in flight at %d sources, want %d at %d", fills, len(coordinator.fillLimits),
					test.wantFills, test.wantLimits)
			}
		})
	}
}
