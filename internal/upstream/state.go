package upstream

import (
	"fennelarch/internal/invariant"

	"go.uber.org/zap"
)

// connectionState is the state of a connection. A retired connection accepts no attempts, because its endpoint has
// moved, and is closed once nothing is pending on it.
type connectionState uint8

const (
	stateDialing            connectionState = iota
	stateDialOverdue                        // the dial is slow: waiting attempts may move to another connection
	stateRetiredDialing                     // retired during the dial
	stateRetiredDialOverdue                 // retired during the dial, which is slow
	stateOpen                               // open, no write in progress
	stateWriting                            // open, write in progress: more may be written than the session knows
	stateRetired                            // open and retired, no write in progress
	stateRetiredWriting                     // open and retired, write in progress
	stateClosingWrite                       // closed during a write: only the writer will know how much was written
	stateClosed
	connectionStates
)

var connectionStateNames = [connectionStates]string{
	"dialing", "dial_overdue", "retired_dialing", "retired_dial_overdue", "open", "writing",
	"retired", "retired_writing", "closing_write", "closed",
}

// String returns the name of the state in logs.
func (s connectionState) String() string { return connectionStateNames[s] }

// isDialOverdue reports whether the dial is in progress and slow.
func (s connectionState) isDialOverdue() bool {
	return s == stateDialOverdue || s == stateRetiredDialOverdue
}

// isUp reports whether the dial has succeeded and the connection is not closed.
func (s connectionState) isUp() bool {
	return s == stateOpen || s == stateWriting || s == stateRetired || s == stateRetiredWriting
}

// isWriting reports whether a write is in progress.
func (s connectionState) isWriting() bool {
	return s == stateWriting || s == stateRetiredWriting || s == stateClosingWrite
}

// isRetired reports whether the connection is to be closed once nothing is pending on it.
func (s connectionState) isRetired() bool {
	return s == stateRetiredDialing || s == stateRetiredDialOverdue || s == stateRetired || s == stateRetiredWriting
}

func (s connectionState) isClosed() bool { return s == stateClosed || s == stateClosingWrite }

// acceptsAttempts reports whether attempts may be queued.
func (s connectionState) acceptsAttempts() bool { return !s.isRetired() && !s.isClosed() }

// connectionEvent is an event that may change the state of a connection.
type connectionEvent uint8

const (
	eventDialOverdue connectionEvent = iota // limits.SlowConnect has passed since the dial began
	eventConnected                          // the dial has succeeded
	eventWriteStarted
	eventWriteFinished
	eventRetire // the endpoint has another address
	eventClose  // closed by either side, or the dial failed; may occur more than once
	connectionEvents
)

var connectionEventNames = [connectionEvents]string{
	"dial_overdue", "connected", "write_started", "write_finished", "retire", "close",
}

// String returns the name of the event in logs.
func (e connectionEvent) String() string { return connectionEventNames[e] }

// impossible marks a transition that cannot occur.
const impossible = connectionStates

// transitions holds the state that follows each event in each state. An event that may arrive late or repeatedly leaves
// the state unchanged: the timer for a slow dial can fire just as the dial succeeds, and an endpoint can move more than
// once.
var transitions = [connectionEvents][connectionStates]connectionState{
	eventDialOverdue: {
		stateDialing: stateDialOverdue, stateDialOverdue: impossible,
		stateRetiredDialing: stateRetiredDialOverdue, stateRetiredDialOverdue: impossible,
		stateOpen: stateOpen, stateWriting: stateWriting,
		stateRetired: stateRetired, stateRetiredWriting: stateRetiredWriting,
		stateClosingWrite: stateClosingWrite, stateClosed: stateClosed,
	},
	eventConnected: {
		stateDialing: stateOpen, stateDialOverdue: stateOpen,
		stateRetiredDialing: stateRetired, stateRetiredDialOverdue: stateRetired,
		stateOpen: impossible, stateWriting: impossible,
		stateRetired: impossible, stateRetiredWriting: impossible,
		stateClosingWrite: impossible, stateClosed: stateClosed,
	},
	eventWriteStarted: {
		stateDialing: impossible, stateDialOverdue: impossible,
		stateRetiredDialing: impossible, stateRetiredDialOverdue: impossible,
		stateOpen: stateWriting, stateWriting: impossible,
		stateRetired: stateRetiredWriting, stateRetiredWriting: impossible,
		stateClosingWrite: impossible, stateClosed: impossible,
	},
	eventWriteFinished: {
		stateDialing: impossible, stateDialOverdue: impossible,
		stateRetiredDialing: impossible, stateRetiredDialOverdue: impossible,
		stateOpen: impossible, stateWriting: stateOpen,
		stateRetired: impossible, stateRetiredWriting: stateRetired,
		stateClosingWrite: stateClosed, stateClosed: impossible,
	},
	eventRetire: {
		stateDialing: stateRetiredDialing, stateDialOverdue: stateRetiredDialOverdue,
		stateRetiredDialing: stateRetiredDialing, stateRetiredDialOverdue: stateRetiredDialOverdue,
		stateOpen: stateRetired, stateWriting: stateRetiredWriting,
		stateRetired: stateRetired, stateRetiredWriting: stateRetiredWriting,
		stateClosingWrite: stateClosingWrite, stateClosed: stateClosed,
	},
	eventClose: {
		stateDialing: stateClosed, stateDialOverdue: stateClosed,
		stateRetiredDialing: stateClosed, stateRetiredDialOverdue: stateClosed,
		stateOpen: stateClosed, stateWriting: stateClosingWrite,
		stateRetired: stateClosed, stateRetiredWriting: stateClosingWrite,
		stateClosingWrite: stateClosingWrite, stateClosed: stateClosed,
	},
}

// advance moves the connection to the state that follows an event. An impossible transition is counted as a violation
// and changes nothing. The caller holds the connection's lock.
func (c *connection) advance(event connectionEvent) {
	next := transitions[event][c.state]
	if next == impossible {
		c.pool.monitor.RecordViolation(invariant.InvalidTransition, uint64(c.endpoint),
			zap.Stringer("state", c.state), zap.Stringer("event", event))
		return
	}
	c.state = next
}
