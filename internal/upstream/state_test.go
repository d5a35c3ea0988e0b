package upstream

import (
	"testing"

	"fennelarch/internal/invariant"
)

// Each state and event has a transition, and none leads back to the first state, which is also that of a gap in the
// table.
func TestTransitionsAreComplete(t *testing.T) {
	for event := range connectionEvents {
		for state := range connectionStates {
			if next := transitions[event][state]; next == stateDialing {
				t.Errorf("%v in state %v: no transition", event, state)
			}
		}
	}
}

// What ends a connection ends it in each state, and what comes after that opens it no more.
func TestClosedStaysClosed(t *testing.T) {
	for state := range connectionStates {
		closed := transitions[eventClose][state]
		if !closed.isClosed() || closed.isWriting() != state.isWriting() {
			t.Errorf("%v is %v when closed", state, closed)
		}
		for _, event := range []connectionEvent{eventClose, eventRetire, eventDialOverdue} {
			if next := transitions[event][closed]; next != closed {
				t.Errorf("%v, then %v: %v", closed, event, next)
			}
		}
		for event := range connectionEvents {
			if next := transitions[event][closed]; next != impossible && !next.isClosed() {
				t.Errorf("%v, then %v: %v", closed, event, next)
			}
		}
	}
}

// A dial that succeeds brings the connection up, however late, unless it was closed meanwhile.
func TestConnectedIsUp(t *testing.T) {
	for _, state := range []connectionState{
		stateDialing, stateDialOverdue, stateRetiredDialing, stateRetiredDialOverdue,
	} {
		connected := transitions[eventConnected][state]
		if !connected.isUp() || connected.isDialOverdue() || connected.isRetired() != state.isRetired() {
			t.Errorf("%v is %v when connected", state, connected)
		}
	}
	if next := transitions[eventConnected][stateClosed]; next != stateClosed {
		t.Errorf("closed is %v when connected", next)
	}
}

// A write that has finished leaves the connection as it was before, or closed if it was closed meanwhile.
func TestFinishedWrite(t *testing.T) {
	for _, state := range []connectionState{stateOpen, stateRetired} {
		writing := transitions[eventWriteStarted][state]
		if !writing.isWriting() || transitions[eventWriteFinished][writing] != state {
			t.Errorf("%v is %v during a write, and %v after it", state, writing, transitions[eventWriteFinished][writing])
		}
		closing := transitions[eventClose][writing]
		if next := transitions[eventWriteFinished][closing]; next != stateClosed {
			t.Errorf("%v, closed during a write, is %v after it", state, next)
		}
	}
}

// A retired connection takes no attempts, and is retired until it is closed.
func TestRetiredStaysRetired(t *testing.T) {
	for state := range connectionStates {
		retired := transitions[eventRetire][state]
		if retired.acceptsAttempts() || retired.isWriting() != state.isWriting() || retired.isUp() != state.isUp() {
			t.Errorf("%v is %v when retired", state, retired)
		}
		if !retired.isRetired() {
			continue
		}
		for event := range connectionEvents {
			next := transitions[event][retired]
			if event != eventClose && next != impossible && !next.isRetired() {
				t.Errorf("%v, then %v: %v", retired, event, next)
			}
		}
	}
}

// A transition that can't come about is counted, and changes nothing.
func TestImpossibleTransitionIsCounted(t *testing.T) {
	monitor := newTestMonitor()
	c := &connection{pool: &Pool{monitor: monitor}, state: stateDialing}
	c.advance(eventConnected)
	if c.state != stateOpen || monitor.Violations() != 0 {
		t.Errorf("%v, %d violations", c.state, monitor.Violations())
	}
	c.advance(eventConnected)
	counts, _ := monitor.Counts()
	if c.state != stateOpen || monitor.Violations() != 1 || counts[invariant.InvalidTransition.String()] != 1 {
		t.Errorf("%v, %v", c.state, counts)
	}
}
