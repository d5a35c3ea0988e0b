package routing

import "testing"

func TestRequestTableUsesSlotsAgain(t *testing.T) {
	table := newRequestTable()
	first := table.add(1)
	first.inFlight = 1
	first.state = requestClosed
	table.release(first)
	if table.find(1) == nil {
		t.Fatal("released with an attempt in flight")
	}
	first.inFlight = 0
	table.release(first)
	if table.find(1) != nil {
		t.Fatal("not released")
	}
	second := table.add(2)
	if len(table.slots) != 1 || second.id != 2 || second.state != requestOpen {
		t.Errorf("%d slots, request %d in state %v", len(table.slots), second.id, second.state)
	}
	table.release(second)
	if table.find(2) != second {
		t.Error("an open request was released")
	}
}

func TestRequestStates(t *testing.T) {
	for name, test := range map[string]struct {
		from, streaming, closed requestState
		isOpen                  bool
	}{
		"open":             {requestOpen, requestStreaming, requestClosed, true},
		"streaming":        {requestStreaming, requestStreaming, requestClosedStreaming, true},
		"closed":           {requestClosed, requestClosedStreaming, requestClosed, false},
		"closed streaming": {requestClosedStreaming, requestClosedStreaming, requestClosedStreaming, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := afterStreamStarted[test.from]; got != test.streaming {
				t.Errorf("after its answer began: %v, want %v", got, test.streaming)
			}
			if got := afterClose[test.from]; got != test.closed {
				t.Errorf("after its close: %v, want %v", got, test.closed)
			}
			if got := (&request{state: test.from}).isOpen(); got != test.isOpen {
				t.Errorf("open: %v", got)
			}
		})
	}
}

// A client that leaves while its answer streams: the attempt is let run, and a second notice cancels nothing either.
func TestStreamingRequestIsNotCancelled(t *testing.T) {
	for name, isStreaming := range map[string]bool{"streaming": true, "not streaming": false} {
		t.Run(name, func(t *testing.T) {
			router := newHarness(testSettings(), cacheA).router
			router.Handle(router.now, &Event{Kind: EventRequest, Request: 1, Object: 7, SizeKB: 100, TimeLeft: 3e9}, nil)
			if isStreaming {
				router.Handle(router.now, &Event{Kind: EventStreamStarted, Request: 1}, nil)
			}
			for range 2 {
				actions := router.Handle(router.now, &Event{Kind: EventClientGone, Request: 1}, nil)
				if isCancelled := len(actions) == 1 && actions[0].Kind == ActionCancel; isCancelled == isStreaming {
					t.Errorf("cancelled: %v", isCancelled)
				}
			}
		})
	}
}
