package frontend

import "testing"

// A connection never returns to an earlier state, and can be closed in any state.
func TestConnectionTransitions(t *testing.T) {
	for state := range connectionStateCount {
		for signal := range connectionSignalCount {
			next := connectionTransitions[state][signal]
			if next < state {
				t.Errorf("%v returns to %v on signal %v", state, next, signal)
			}
		}
		if !connectionTransitions[state][signalClose].isClosed() {
			t.Errorf("%v cannot be closed", state)
		}
	}
}

// An invalid transition is counted and leaves the state unchanged.
func TestInvalidTransitionIsCounted(t *testing.T) {
	s := newTestSession()
	s.close()
	s.transition(signalMessage)
	if count := s.shared.invalidTransitions.Load(); count != 1 || s.state != stateClosed {
		t.Errorf("%d invalid transitions are counted, the state is %v", count, s.state)
	}
}
