package routing

import "testing"

func TestRequestTableUsesSlotsAgain(t *testing.T) {
	table := newRequestTable()
	first := table.add(1)
	first.inFlight = 1
	first.state = requestClosed
	table.release(first)
	if table.find(1) == nil {
		t.Fatal("a request with an attempt in flight was released")
	}
	first.inFlight = 0
	table.release(first)
	if table.find(1) != nil {
		t.Fatal("a closed request was not released")
	}
	second := table.add(2)
	if len(table.slots) != 1 || second.id != 2 || second.state != requestOpen {
		t.Errorf("got %d slots and request %d in state %v, want 1 slot and request 2 in state requestOpen",
			len(table.slots), second.id, second.state)
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
				t.Errorf("after the answer began: got state %v, want %v", got, test.streaming)
			}
			if got := afterClose[test.from]; got != test.closed {
				t.Errorf("after closing: got state %v, want %v", got, test.closed)
			}
			if got := (&request{state: test.from}).isOpen(); got != test.isOpen {
				t.Errorf("unexpected result %v of isOpen", got)
			}
		})
	}
}

// If a client leaves while it is receiving its answer, the attempt is not cancelled, not even by a second
// EventClientGone.
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
					t.Errorf("unexpected result %v of cancelled", isCancelled)
				}
			}
		})
	}
}
