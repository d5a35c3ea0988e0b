package invariant

// Violation is a kind of violated invariant.
type Violation uint8

// The kinds of violations. An attempt counts as written when its last byte is written.
const (
	AttemptAfterEnd      Violation = iota // an attempt was written after its request had ended
	AttemptAfterDeadline                  // an attempt was written after the client's deadline
	AttemptAfterBound                     // an attempt was written after its start bound
	DeadlineTooLong                       // a server was sent a deadline beyond the client's
	RepeatUnsafe                          // an attempt was to repeat one that may have run and must not run twice
	AnsweredTwice                         // a request got a second final response
	AnsweredLate                          // a request got its final response after the client's deadline
	RejectedThoughRan                     // a request that may have run was rejected as safe to repeat
	RequestUnanswered                     // the router closed a client connection with requests open
	AttemptCutOff                         // a connection to a server was closed as idle with attempts in flight
	StaleCopyServed                       // a purged copy was served from the local cache
	InvalidTransition                     // a request, an attempt or a connection made an invalid state transition
	violationKindCount
)

var violationNames = [violationKindCount]string{
	AttemptAfterEnd:      "attempt_after_end",
	AttemptAfterDeadline: "attempt_after_deadline",
	AttemptAfterBound:    "attempt_after_bound",
	DeadlineTooLong:      "deadline_too_long",
	RepeatUnsafe:         "repeat_unsafe",
	AnsweredTwice:        "answered_twice",
	AnsweredLate:         "answered_late",
	RejectedThoughRan:    "rejected_though_ran",
	RequestUnanswered:    "request_unanswered",
	AttemptCutOff:        "attempt_cut_off",
	StaleCopyServed:      "stale_copy_served",
	InvalidTransition:    "invalid_transition",
}

// String returns the name under which a kind is counted and logged.
func (v Violation) String() string { return violationNames[v] }
