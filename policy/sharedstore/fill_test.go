package sharedstore

import (
	"testing"
	"time"

	"fennelarch/policy/routing"
)

// A fill in flight counts until it ends, even if its source leaves the endpoint list, or leaves and returns.
func TestFillsOfDepartedSource(t *testing.T) {
	ready := Event{Kind: EventEndpointState, Endpoint: testParent, State: routing.Ready}
	gone := Event{Kind: EventEndpointState, Endpoint: testParent, State: routing.Gone}
	for _, test := range []struct {
		name       string
		events     []Event
		wantFills  int
		wantLimits int
	}{
		{"a fill is in flight", []Event{fillRequestEvent(1), getFailedEvent(1)}, 1, 1},
		{"its source has gone", []Event{fillRequestEvent(1), getFailedEvent(1), gone}, 1, 1},
		{"cancelled after its source has gone", []Event{fillRequestEvent(1), getFailedEvent(1), gone, cancelEvent(1)}, 0, 0},
		{"filled after its source has gone", []Event{fillRequestEvent(1), getFailedEvent(1), gone, filledEvent(1)}, 0, 0},
		{
			"a second fill after its source has returned",
			[]Event{fillRequestEvent(1), getFailedEvent(1), gone, ready, fillRequestEvent(2), getFailedEvent(2)},
			2, 1,
		},
		{
			"the first of two such fills ends",
			[]Event{fillRequestEvent(1), getFailedEvent(1), gone, ready, fillRequestEvent(2), getFailedEvent(2), cancelEvent(1)},
			1, 1,
		},
		{"no fill was in flight", []Event{fillRequestEvent(1), getFailedEvent(1), filledEvent(1), gone}, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			coordinator := New(testSettings(), 1, testStore)
			connected := Event{Kind: EventConnected, Endpoint: testStore, RunID: 1, Uptime: time.Hour}
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

// TestFillThatMayHaveRunIsNoMiss guards against the report of a miss, which promises that the request did not run, for
// a fill that may have run at its source. A second request that waited for the fill has not run in any case.
func TestFillThatMayHaveRunIsNoMiss(t *testing.T) {
	purged := Invalidation{Object: 7, IssuedAt: epoch + 4000}
	for _, test := range []struct {
		name  string
		fill  Event
		purge bool
		want  routing.Outcome
	}{
		{"miss", Event{Outcome: routing.CacheMiss, Note: routing.NoteSourceMiss}, false, routing.CacheMiss},
		{"full", Event{Outcome: routing.Overloaded}, false, routing.CacheMiss},
		{"refused", Event{Outcome: routing.ConnectFailed}, false, routing.CacheMiss},
		{"not sent", Event{Outcome: routing.NotSent}, false, routing.CacheMiss},
		{"reset", Event{Outcome: routing.ConnectionBroken}, false, routing.Failed},
		{"error", Event{Outcome: routing.Failed}, false, routing.Failed},
		{"error behind a parent", Event{Outcome: routing.Failed, Note: routing.NoteOriginFailed}, false, routing.Failed},
		{"silent", Event{Outcome: routing.TimedOut}, false, routing.Failed},
		{"cancelled", Event{Outcome: routing.Cancelled}, false, routing.Failed},
		{"purged copy", Event{Outcome: routing.Succeeded, GeneratedAt: epoch + 3000, BodyBytes: 9}, true, routing.Failed},
	} {
		t.Run(test.name, func(t *testing.T) {
			runner := newScriptRunner()
			for _, word := range []string{"request", "join", "broken"} {
				event := runner.event(word, 1)
				runner.coordinator.Handle(runner.now, &event, nil)
			}
			if test.purge {
				runner.coordinator.RecordInvalidation(runner.now, purged)
			}
			test.fill.Kind, test.fill.Operation = EventFillDone, 1
			outcomes := map[OperationID]routing.Outcome{}
			for _, action := range runner.coordinator.Handle(runner.now, &test.fill, nil) {
				if action.Kind == ActionComplete {
					outcomes[action.Operation] = action.Outcome
				}
			}
			if outcomes[1] != test.want || outcomes[2] != routing.CacheMiss {
				t.Errorf("outcomes %d and, of the request that joined, %d, want %d and %d",
					outcomes[1], outcomes[2], test.want, routing.CacheMiss)
			}
		})
	}
}

func fillRequestEvent(id OperationID) Event {
	return Event{
		Kind: EventRequest, Operation: id, Endpoint: testStore, Source: testParent, Object: routing.ObjectID(id),
		UntilObjective: time.Second, UntilDeadline: 2 * time.Second,
	}
}

func getFailedEvent(id OperationID) Event {
	return Event{Kind: EventGetDone, Operation: id, Endpoint: testStore, Reply: ReplyDisconnected}
}

func filledEvent(id OperationID) Event {
	return Event{Kind: EventFillDone, Operation: id, Outcome: routing.Succeeded, Note: routing.NoteFilled}
}

func cancelEvent(id OperationID) Event { return Event{Kind: EventCancel, Operation: id} }
