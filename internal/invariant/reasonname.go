package invariant

import (
	"fennelarch/internal/flightrecorder"
	"fennelarch/internal/system"
	"fennelarch/policy/routing"
)

// outcomeNames maps the outcomes of attempts to their names in the flight recorder.
var outcomeNames = map[routing.Outcome]string{
	routing.Succeeded:        "succeeded",
	routing.Failed:           "failed",
	routing.Overloaded:       "overloaded",
	routing.TimedOut:         "timed_out",
	routing.ConnectFailed:    "connect_failed",
	routing.ConnectionBroken: "connection_broken",
	routing.Cancelled:        "cancelled",
	routing.NotSent:          "not_sent",
	routing.CacheMiss:        "cache_miss",
}

// endpointStateNames maps the states of endpoints to their names in the flight recorder.
var endpointStateNames = map[routing.EndpointState]string{
	routing.Gone:     "gone",
	routing.Ready:    "ready",
	routing.Draining: "draining",
}

// dialFaultNames maps the results of dials to their names in the flight recorder.
var dialFaultNames = map[system.Fault]string{
	system.FaultNone:    "up",
	system.FaultLocal:   "local",
	system.FaultRefused: "refused",
	system.FaultSilent:  "silent",
	system.FaultBroken:  "broken",
}

// ReasonName returns the name of the reason of an event in the flight recorder, or "" if the event has none.
func ReasonName(event flightrecorder.Event, reason uint8) string {
	switch event {
	case flightrecorder.ConnectionClosed, flightrecorder.ServerClosed:
		return nameAt(closeReasonNames[:], reason)
	case flightrecorder.RequestEnded:
		return nameAt(endReasonNames[:], reason)
	case flightrecorder.AttemptDenied:
		return nameAt(sendDenialNames[:], reason)
	case flightrecorder.AttemptEnded:
		return outcomeNames[routing.Outcome(reason)]
	case flightrecorder.ServerState:
		return endpointStateNames[routing.EndpointState(reason)]
	case flightrecorder.ServerDialled:
		return dialFaultNames[system.Fault(reason)]
	case flightrecorder.Violation:
		return nameAt(violationNames[:], reason)
	default:
		return ""
	}
}

// nameAt returns the name at an index, or "" if the index is out of range.
func nameAt(names []string, index uint8) string {
	if int(index) < len(names) {
		return names[index]
	}
	return ""
}
