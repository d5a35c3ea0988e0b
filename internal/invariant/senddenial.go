package invariant

// SendDenial says why an attempt may not begin.
type SendDenial uint8

// The reasons; SendAllowed is none.
const (
	SendAllowed        SendDenial = iota
	SendRequestEnded              // the request has its final response, or its client has gone
	SendDeadlinePassed            // the client's deadline has passed, or all but
	SendBoundPassed               // the grace of a drain, or the dedup window, has passed
	SendRepeatUnsafe              // an earlier attempt may have run, and this one might run again
	sendDenials
)

var sendDenialNames = [sendDenials]string{
	SendAllowed:        "allowed",
	SendRequestEnded:   "request_ended",
	SendDeadlinePassed: "deadline_passed",
	SendBoundPassed:    "bound_passed",
	SendRepeatUnsafe:   "repeat_unsafe",
}

// String is the name under which a reason is recorded.
func (d SendDenial) String() string { return sendDenialNames[d] }
