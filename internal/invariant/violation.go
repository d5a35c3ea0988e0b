package invariant

// Violation is a kind of violated invariant.
type Violation uint8

// The kinds of violations.
const (
	AttemptAfterEnd      Violation = iota // an attempt was written completely after its request had ended
	AttemptAfterDeadline                  // an attempt was written completely after its client's deadline
	AttemptAfterBound                     // an attempt was written completely after its start bound
	DeadlineTooLong                       // a server was sent a longer deadline than the client's
	RepeatUnsafe                          // a repeat was asked for that might have had its effect twice
	AnsweredTwice                         // a request got a second final response
	AnsweredLate                          // a request got its final response after the client's deadline
	RejectedThoughRan                     // a request was rejected as safe to repeat, though it may have run
	RequestUnanswered                     // a connection was closed by this side with requests open
	AttemptCutOff                         // a connection to a server was closed as idle, with attempts in flight
	StaleCopyServed                       // a copy of the local cache was served that had been purged
	InvalidTransition                     // a request, an attempt or a connection was to take a state that cannot follow
	violationKinds
)

var violationNames = [violationKinds]string{
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

// String is the name under which a kind is counted and logged.
func (v Violation) String() string { return violationNames[v] }
