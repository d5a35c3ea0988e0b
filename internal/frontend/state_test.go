package frontend

import "testing"

// A connection goes from one state to the next in one direction only, and can be closed in each.
func TestConnectionTransitions(t *testing.T) {
	for state := range connectionStateCount {
		for signal := range connectionSignalCount {
			next := connectionTransitions[state][signal]
			if next < state {
				t.Errorf("%v goes back to %v on %v", state, next, signal)
			}
		}
		if !connectionTransitions[state][signalClose].isClosed() {
			t.Errorf("%v cannot be closed", state)
		}
	}
}

// A transition that cannot follow is counted, and leaves the state as it is.
func TestInvalidTransitionIsCounted(t *testing.T) {
	s := newTestSession()
	s.close()
	s.transition(signalMessage)
	if count := s.shared.invalidTransitions.Load(); count != 1 || s.state != stateClosed {
		t.Errorf("%d invalid transitions are counted, the state is %v", count, s.state)
	}
}
