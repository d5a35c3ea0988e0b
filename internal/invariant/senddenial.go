package invariant

// SendDenial is the reason why an attempt may not begin.
type SendDenial uint8

// The reasons. SendAllowed means that the attempt may begin.
const (
	SendAllowed        SendDenial = iota
	SendRequestEnded              // the request was answered or cancelled, or its client has left
	SendDeadlinePassed            // the deadline of the request or of the attempt has passed
	SendBoundPassed               // the attempt's start bound has passed: the drain grace or the dedup window is over
	SendRepeatUnsafe              // an earlier attempt may have run, and the request must not run twice
	sendDenialCount
)

var sendDenialNames = [sendDenialCount]string{
	SendAllowed:        "allowed",
	SendRequestEnded:   "request_ended",
	SendDeadlinePassed: "deadline_passed",
	SendBoundPassed:    "bound_passed",
	SendRepeatUnsafe:   "repeat_unsafe",
}

// String returns the name under which a reason is recorded.
func (d SendDenial) String() string { return sendDenialNames[d] }
