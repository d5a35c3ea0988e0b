package sharedstore

import (
	"fmt"
	"time"

	"fennelarch/policy/routing"
)

var actionNames = [...]string{
	ActionGet: "get", ActionAcquireLease: "acquire lease", ActionReleaseLease: "release lease",
	ActionStartFill: "fill", ActionAbortFill: "abort fill", ActionSet: "set", ActionComplete: "complete",
	ActionForget: "forget", ActionSetTimer: "timer", ActionAnnounceStart: "announce start", ActionLog: "log",
}

func printActions(actions []Action) {
	for i := range actions {
		action := &actions[i]
		name, id := actionNames[action.Kind], action.Operation
		switch action.Kind {
		case ActionComplete:
			fmt.Printf("  complete %d outcome %d note %d from %d\n", id, action.Outcome, action.Note, action.CopyFrom)
		case ActionSetTimer:
			fmt.Printf("  timer %d in %v\n", id, action.Delay.Round(ms/10))
		case ActionLog:
			fmt.Printf("  log %q\n", action.Message)
		case ActionAcquireLease, ActionSet:
			fmt.Printf("  %s %d %v\n", name, id, action.TTL.Round(ms))
		case ActionAnnounceStart:
			fmt.Printf("  %s %d %v\n", name, id, action.Uptime.Round(ms))
		default:
			fmt.Printf("  %s %d\n", name, id)
		}
	}
}

// A miss is filled by the router that holds the lease. A second request of the same router joins the first one, and a
// request whose lease another router holds waits for that router's fill.
func ExampleCoordinator() {
	coordinator := New(testSettings(), 1, testStore)
	now := time.Second
	handle := func(title string, event Event) {
		event.Endpoint = testStore
		fmt.Println(title)
		printActions(coordinator.Handle(now, &event, nil))
	}
	handle("connected", Event{Kind: EventConnected, RunID: 1, Uptime: time.Hour})
	request := Event{
		Kind: EventRequest, Operation: 1, Source: testParent, Object: 7, UntilObjective: 400 * ms, UntilDeadline: time.Second,
	}
	handle("a request", request)
	request.Operation = 2
	handle("another request for the same object", request)
	now += ms / 2
	handle("the store has no copy", Event{Kind: EventGetDone, Operation: 1, Reply: ReplyMiss, Elapsed: ms / 2})
	now += ms / 2
	handle("the router acquires the lease", Event{Kind: EventLeaseDone, Operation: 1, Reply: ReplyOK, Elapsed: ms / 2})
	now += 40 * ms
	handle("the source returns the object", Event{
		Kind: EventFillDone, Operation: 1, Outcome: routing.Succeeded, Note: routing.NoteHit, GeneratedAt: epoch + 500,
		BodyBytes: 10, Elapsed: 40 * ms,
	})
	now += ms
	handle("the copy is stored", Event{Kind: EventSetDone, Operation: 1, Reply: ReplyOK, Elapsed: ms})
	request.Operation, request.Object = 3, 8
	handle("a request for another object", request)
	handle("the store has no copy", Event{Kind: EventGetDone, Operation: 3, Reply: ReplyMiss, Elapsed: ms / 2})
	handle("another router holds the lease", Event{
		Kind: EventLeaseDone, Operation: 3, Reply: ReplyLeaseHeld, Elapsed: ms / 2,
	})
	// Output:
	// connected
	//   log "store ready"
	// a request
	//   get 1
	//   timer 1 in 25ms
	// another request for the same object
	//   timer 2 in 150ms
	// the store has no copy
	//   acquire lease 1 150ms
	//   timer 1 in 2ms
	// the router acquires the lease
	//   fill 1
	// the source returns the object
	//   complete 1 outcome 1 note 2 from 1
	//   complete 2 outcome 1 note 4 from 1
	//   forget 2
	//   set 1 9m59.459s
	//   release lease 1
	// the copy is stored
	//   forget 1
	// a request for another object
	//   get 3
	//   timer 3 in 2.2ms
	// the store has no copy
	//   acquire lease 3 120ms
	//   timer 3 in 2ms
	// another router holds the lease
	//   timer 3 in 80ms
}

// A store that stops answering is bypassed after a few requests, and probed after a backoff.
func ExampleCoordinator_slow() {
	coordinator := New(testSettings(), 1, testStore)
	coordinator.Handle(0, &Event{Kind: EventConnected, Endpoint: testStore, RunID: 1, Uptime: time.Hour}, nil)
	now := time.Second
	for id := OperationID(1); id <= 8; id++ {
		fmt.Println("a request")
		actions := coordinator.Handle(now, &Event{
			Kind: EventRequest, Operation: id, Endpoint: testStore, Source: testParent, Object: routing.ObjectID(id),
			UntilObjective: 400 * ms, UntilDeadline: time.Second,
		}, nil)
		printActions(actions)
		now += 30 * ms
		for _, action := range actions {
			if action.Kind == ActionSetTimer {
				timeout := Event{Kind: EventTimer, Operation: action.Operation, TimerID: action.TimerID}
				printActions(coordinator.Handle(now, &timeout, nil))
			}
		}
	}
	// Output:
	// a request
	//   get 1
	//   timer 1 in 25ms
	//   fill 1
	// a request
	//   get 2
	//   timer 2 in 25ms
	//   fill 2
	// a request
	//   get 3
	//   timer 3 in 25ms
	//   fill 3
	// a request
	//   get 4
	//   timer 4 in 25ms
	//   fill 4
	// a request
	//   get 5
	//   timer 5 in 25ms
	//   fill 5
	// a request
	//   get 6
	//   timer 6 in 25ms
	//   timer 0 in 234.4ms
	//   log "store slow"
	//   fill 6
	// a request
	//   fill 7
	// a request
	//   fill 8
}
