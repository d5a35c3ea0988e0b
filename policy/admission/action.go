package admission

import "time"

// ActionKind says what is to be done.
type ActionKind uint8

// The kinds of actions.
const (
	Accept      ActionKind = iota // the connection, or the request
	Reject                        // with an error message and, if Wait is set, the time to retry after
	Drop                          // without a message
	CloseIdle                     // close an idle connection, to free its place
	Pause                         // accept nothing for Wait, or, if Conn is set, read nothing of that connection
	ModeChanged                   // From, To: the overload mode is another; for the log
)

// Action is one thing that the front end has to do; actions are carried out in the order given.
type Action struct {
	Kind ActionKind
	Conn ConnID
	Wait time.Duration
	From Mode
	To   Mode
}

// Counts is the number of decisions of each kind so far.
type Counts struct {
	Accepted, Rejected, Dropped, ClosedIdle, RequestsRejected, DescriptorsExhausted, Handshakes uint64
}
