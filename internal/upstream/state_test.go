package upstream

import (
	"testing"

	"fennelarch/internal/invariant"
)

// Every state has a transition for every event. A missing entry in the table would lead to stateDialing, the zero
// value, and no valid transition does.
func TestTransitionsAreComplete(t *testing.T) {
	for event := range connectionEvents {
		for state := range connectionStates {
			if next := transitions[event][state]; next == stateDialing {
				t.Errorf("%v in state %v: no transition", event, state)
			}
		}
	}
}

// A close event closes a connection in every state, and no later event reopens it.
func TestClosedStaysClosed(t *testing.T) {
	for state := range connectionStates {
		closed := transitions[eventClose][state]
		if !closed.isClosed() || closed.isWriting() != state.isWriting() {
			t.Errorf("%v after close: %v, want a closed state that keeps a write in progress", state, closed)
		}
		for _, event := range []connectionEvent{eventClose, eventRetire, eventDialOverdue} {
			if next := transitions[event][closed]; next != closed {
				t.Errorf("%v, then %v: %v, want no change", closed, event, next)
			}
		}
		for event := range connectionEvents {
			if next := transitions[event][closed]; next != impossible && !next.isClosed() {
				t.Errorf("%v, then %v: %v, want a closed state", closed, event, next)
			}
		}
	}
}

// A dial that succeeds opens the connection, however late, unless it was closed meanwhile.
func TestConnectedIsUp(t *testing.T) {
	for _, state := range []connectionState{
		stateDialing, stateDialOverdue, stateRetiredDialing, stateRetiredDialOverdue,
	} {
		connected := transitions[eventConnected][state]
		if !connected.isUp() || connected.isDialOverdue() || connected.isRetired() != state.isRetired() {
			t.Errorf("%v after connected: %v, want an open state, retired only if it was retired before", state, connected)
		}
	}
	if next := transitions[eventConnected][stateClosed]; next != stateClosed {
		t.Errorf("closed after connected: %v, want closed", next)
	}
}

// The end of a write returns the connection to its previous state, or to closed if it was closed meanwhile.
func TestFinishedWrite(t *testing.T) {
	for _, state := range []connectionState{stateOpen, stateRetired} {
		writing := transitions[eventWriteStarted][state]
		if !writing.isWriting() || transitions[eventWriteFinished][writing] != state {
			t.Errorf("%v: %v during a write, %v after it, want the same state as before",
				state, writing, transitions[eventWriteFinished][writing])
		}
		closing := transitions[eventClose][writing]
		if next := transitions[eventWriteFinished][closing]; next != stateClosed {
			t.Errorf("%v, closed during a write: %v after it, want closed", state, next)
		}
	}
}

// A retired connection accepts no attempts, and stays retired until it is closed.
func TestRetiredStaysRetired(t *testing.T) {
	for state := range connectionStates {
		retired := transitions[eventRetire][state]
		if retired.acceptsAttempts() || retired.isWriting() != state.isWriting() || retired.isUp() != state.isUp() {
			t.Errorf("%v after retire: %v, want a state without new attempts, otherwise as before", state, retired)
		}
		if !retired.isRetired() {
			continue
		}
		for event := range connectionEvents {
			next := transitions[event][retired]
			if event != eventClose && next != impossible && !next.isRetired() {
				t.Errorf("%v, then %v: %v, want a retired state", retired, event, next)
			}
		}
	}
}

// An impossible transition is counted as a violation and changes nothing.
func TestImpossibleTransitionIsCounted(t *testing.T) {
	monitor := newTestMonitor()
	c := &connection{pool: &Pool{monitor: monitor}, state: stateDialing}
	c.advance(eventConnected)
	if c.state != stateOpen || monitor.Violations() != 0 {
		t.Errorf("state %v, want open; %d violations, want 0", c.state, monitor.Violations())
	}
	c.advance(eventConnected)
	counts, _ := monitor.Counts()
	if c.state != stateOpen || monitor.Violations() != 1 || counts[invariant.InvalidTransition.String()] != 1 {
		t.Errorf("state %v, want open; violations %v, want one invalid transition", c.state, counts)
	}
}
