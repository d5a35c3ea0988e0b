package invariant

import (
	"fmt"

	"fennelarch/internal/flightrecorder"
	"fennelarch/internal/system"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// Violation is a kind of broken invariant.
type Violation uint8

// The kinds of violations.
const (
	AttemptAfterEnd      Violation = iota // an attempt became whole after its request had ended
	AttemptAfterDeadline                  // an attempt became whole after its client's time was up
	AttemptAfterBound                     // an attempt became whole after the grace of a drain, or the window of its key
	DeadlineTooLong                       // a server was told more time than the client has left
	RepeatUnsafe                          // a repeat was asked for that might have had its effect twice
	AnsweredTwice                         // a request got a second final answer
	AnsweredLate                          // a request got its final answer after the client's time
	RejectedThoughRan                     // a request was refused as harmless to repeat, though it may have run
	RequestUnanswered                     // a connection was closed by this side with requests open
	AttemptCutOff                         // a connection to a server was closed for resting, with attempts open
	StaleCopyServed                       // a copy of the local cache was served that had been purged
	InvalidTransition                     // a request or an attempt was to change to a state that cannot follow
	violationKinds
)

var violationNames = [violationKinds]string{
	"attempt_after_end", "attempt_after_deadline", "attempt_after_bound",
	"deadline_too_long", "repeat_unsafe", "answered_twice", "answered_late", "refused_though_ran", "request_unanswered",
	"attempt_cut_off", "stale_copy_served", "invalid_transition",
}

// String is the name under which a kind is counted and logged.
func (v Violation) String() string { return violationNames[v] }

// SendDenial says why an attempt may not begin.
type SendDenial uint8

// The reasons; SendAllowed is none.
const (
	SendAllowed        SendDenial = iota
	SendRequestEnded              // the request has its answer, or its client has gone
	SendDeadlinePassed            // the client's time is up, or all but
	SendBoundPassed               // the grace of a drain, or the window of its key, has passed
	SendRepeatUnsafe              // an earlier attempt may have run, and this one might run again
	SendNoConnection              // no connection came up in time
	sendRefusals
)

var sendRefusalNames = [sendRefusals]string{
	"allowed", "request_ended", "deadline_passed", "bound_passed",
	"repeat_unsafe", "no_connection",
}

// String is the name under which a reason is recorded.
func (r SendDenial) String() string { return sendRefusalNames[r] }

// EndReason says how a request ended.
type EndReason uint8

// The reasons; EndOpen is none yet.
const (
	EndOpen       EndReason = iota
	EndServed               // it has its answer, "served"
	EndRejected             // it was refused: trying again is harmless
	EndFailed               // it failed
	EndCancelled            // its client took it back
	EndClientLeft           // its client's connection ended
	endReasons
)

var endReasonNames = [endReasons]string{"open", "served", "refused", "failed", "cancelled", "client_left"}

// String is the name under which a reason is recorded.
func (r EndReason) String() string { return endReasonNames[r] }

// answered says whether the client has its final answer.
func (r EndReason) answered() bool { return r == EndServed || r == EndRejected || r == EndFailed }

// CloseReason says why a connection is closed.
type CloseReason uint8

// The reasons. Those up to CloseIdle are of clients' connections, the rest of servers'.
const (
	CloseClientLeft        CloseReason = iota // the client ended it
	CloseReadFailed                           // the system says that it is broken
	CloseWriteFailed                          // the same, or the client reads nothing for too long
	CloseClientMalformed                      // the client sent what is no message
	CloseIncomplete                           // a message was not whole for too long
	CloseClientIdle                           // nothing was open on it for long
	CloseClientForCapacity                    // its place is needed for another
	CloseShutdown                             // the router ends
	CloseHandshake                            // TLS did not come about
	CloseRejected                             // it was never let in
	CloseIdle                                 // nothing was open on a server's connection for long
	CloseServerForCapacity                    // nothing was open on it, and its descriptor is needed
	CloseServerSuspect                        // it may be stuck, or hold half of an answer; nothing is open on it
	CloseServerEnded                          // the server ended it, or it broke
	CloseServerWrite                          // it takes nothing any more
	CloseServerMalformed                      // the server sent what is no answer
	CloseHalfWritten                          // a request was given up while it was half written
	CloseServerMoved                          // the server has another address, or its address another server
	CloseDialFailed                           // it never came up
	closeReasons
)

var closeReasonNames = [closeReasons]string{
	"client_left", "read_failed", "write_failed", "unreadable", "incomplete",
	"rested", "for_room", "stopping", "handshake", "turned_away", "server_idle", "server_for_room", "server_unsure",
	"server_ended", "server_write", "server_spoilt", "server_half_written", "server_moved", "server_dial_failed",
}

// String is the name under which a reason is counted and recorded.
func (r CloseReason) String() string { return closeReasonNames[r] }

// peers says whether the client itself, or the network, ended the connection.
func (r CloseReason) peers() bool {
	return r == CloseClientLeft || r == CloseReadFailed || r == CloseWriteFailed || r == CloseHandshake
}

// idle says whether a reason holds only for a connection on which nothing is open.
func (r CloseReason) idle() bool {
	return r == CloseIdle || r == CloseServerForCapacity || r == CloseServerSuspect
}

// outcomes name how attempts end.
var outcomes = map[routing.Outcome]string{
	routing.Succeeded: "succeeded", routing.Failed: "errored", routing.Overloaded: "full",
	routing.TimedOut: "timed_out", routing.ConnectFailed: "unconnected", routing.ConnectionBroken: "broken", routing.Cancelled: "cancelled",
	routing.NotSent: "never_sent", routing.CacheMiss: "missed",
}

var memberStates = map[routing.EndpointState]string{routing.Gone: "gone", routing.Ready: "ready", routing.Draining: "draining"}

var localFaults = map[system.Fault]string{
	system.FaultNone: "up", system.FaultLocal: "local", system.FaultRefused: "refused",
	system.FaultSilent: "silent", system.FaultBroken: "broken",
}

// ReasonName names the reason of a recorded event, or nothing where the event has none.
func ReasonName(event flightrecorder.Event, reason uint8) string {
	switch event {
	case flightrecorder.ConnectionClosed, flightrecorder.ServerClosed:
		return named(closeReasonNames[:], reason)
	case flightrecorder.RequestEnded, flightrecorder.RequestRejected:
		return named(endReasonNames[:], reason)
	case flightrecorder.AttemptDenied:
		return named(sendRefusalNames[:], reason)
	case flightrecorder.AttemptEnded:
		return outcomes[routing.Outcome(reason)]
	case flightrecorder.ServerState:
		return memberStates[routing.EndpointState(reason)]
	case flightrecorder.ServerDialled:
		return localFaults[system.Fault(reason)]
	case flightrecorder.Violation:
		return named(violationNames[:], reason)
	}
	return ""
}

func named(list []string, i uint8) string {
	if int(i) < len(list) {
		return list[i]
	}
	return ""
}

func hexadecimal(name string, id uint64) zap.Field { return zap.String(name, fmt.Sprintf("%016x", id)) }
