package upstream

import (
	"fennelarch/internal/invariant"

	"go.uber.org/zap"
)

// connectionState is the state of a connection. A retired one takes no further attempts, as its endpoint has moved, and
// is closed once nothing is pending on it.
type connectionState uint8

const (
	stateDialing            connectionState = iota
	stateDialOverdue                        // the dial is slow: what waits for it may go by another connection
	stateRetiredDialing                     // retired while it was dialled
	stateRetiredDialOverdue                 // the same, and the dial is slow
	stateOpen                               // up, with no write under way
	stateWriting                            // the system may have taken more than the session knows of
	stateRetired                            // up and retired, with no write under way
	stateRetiredWriting                     // the same, with a write under way
	stateClosingWrite                       // closed during a write: only the writer will know how much of it went
	stateClosed
	connectionStates
)

var connectionStateNames = [connectionStates]string{
	"dialing", "dial_overdue", "retired_dialing", "retired_dial_overdue", "open", "writing",
	"retired", "retired_writing", "closing_write", "closed",
}

// String is the name under which a state is logged.
func (s connectionState) String() string { return connectionStateNames[s] }

// isDialOverdue says whether the dial is under way and slow.
func (s connectionState) isDialOverdue() bool {
	return s == stateDialOverdue || s == stateRetiredDialOverdue
}

// isUp says whether the dial has succeeded and the connection is not closed.
func (s connectionState) isUp() bool {
	return s == stateOpen || s == stateWriting || s == stateRetired || s == stateRetiredWriting
}

// isWriting says whether a write is under way.
func (s connectionState) isWriting() bool {
	return s == stateWriting || s == stateRetiredWriting || s == stateClosingWrite
}

// isRetired says whether the connection is to be closed once nothing is pending on it.
func (s connectionState) isRetired() bool {
	return s == stateRetiredDialing || s == stateRetiredDialOverdue || s == stateRetired || s == stateRetiredWriting
}

func (s connectionState) isClosed() bool { return s == stateClosed || s == stateClosingWrite }

// acceptsAttempts says whether attempts may be queued.
func (s connectionState) acceptsAttempts() bool { return !s.isRetired() && !s.isClosed() }

// connectionEvent is what changes the state of a connection.
type connectionEvent uint8

const (
	eventDialOverdue connectionEvent = iota // limits.SlowConnect has passed since the dial began
	eventConnected                          // the dial has succeeded
	eventWriteStarted
	eventWriteFinished
	eventRetire // the endpoint has another address
	eventClose  // by either side, or since the dial has failed; it may come more than once
	connectionEvents
)

var connectionEventNames = [connectionEvents]string{
	"dial_overdue", "connected", "write_started", "write_finished", "retire", "close",
}

// String is the name under which an event is logged.
func (e connectionEvent) String() string { return connectionEventNames[e] }

// impossible marks a transition that can't come about.
const impossible = connectionStates

// transitions are the state after each event, by the state before it. What may cross stays in its state: the timer of a
// slow dial fires while the connection comes up, and an endpoint may move more than once.
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

// advance moves the connection to its state after an event. A transition that can't come about is counted as a
// violation and changes nothing. The caller holds the connection's lock.
func (c *connection) advance(event connectionEvent) {
	next := transitions[event][c.state]
	if next == impossible {
		c.pool.monitor.Violate(invariant.InvalidTransition, uint64(c.endpoint),
			zap.Stringer("state", c.state), zap.Stringer("event", event))
		return
	}
	c.state = next
}
