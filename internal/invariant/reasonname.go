package invariant

import (
	"fennelarch/internal/flightrecorder"
	"fennelarch/internal/system"
	"fennelarch/policy/routing"
)

// outcomeNames name how attempts end.
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

var endpointStateNames = map[routing.EndpointState]string{
	routing.Gone:     "gone",
	routing.Ready:    "ready",
	routing.Draining: "draining",
}

var dialFaultNames = map[system.Fault]string{
	system.FaultNone:    "up",
	system.FaultLocal:   "local",
	system.FaultRefused: "refused",
	system.FaultSilent:  "silent",
	system.FaultBroken:  "broken",
}

// ReasonName names the reason of an event in the flight recorder; it is empty where the event has none.
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

func nameAt(names []string, i uint8) string {
	if int(i) < len(names) {
		return names[i]
	}
	return ""
}
