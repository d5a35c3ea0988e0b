package admission

import "time"

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	Accept        ActionKind = iota // accept the connection or the request
	Reject                          // reject it with an error message and, if Wait is set, a time to retry after
	Drop                            // close the connection without a message
	CloseIdle                       // close an idle connection to free its slot
	Pause                           // for Wait, accept no connections or, if Conn is set, do not read from that connection
	LogModeChange                   // log the change of the overload mode
)

// Action is an instruction to the front end, which carries out actions in the order in which they are returned.
type Action struct {
	Kind ActionKind
	Conn ConnID        // zero if the action concerns no single connection
	Wait time.Duration // length of a pause, or time to retry after
	From Mode          // previous mode, for LogModeChange
	To   Mode          // new mode, for LogModeChange
}

// Counts holds the number of decisions of each kind so far.
type Counts struct {
	Accepted, Rejected, Dropped, ClosedIdle, RequestsRejected, DescriptorsExhausted, Handshakes uint64
}
