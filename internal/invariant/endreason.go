package invariant

// EndReason says how a request ended. It is the state of a request: from EndOpen it may change to any other, and from
// no other.
type EndReason uint8

// The reasons; EndOpen is none yet.
const (
	EndOpen       EndReason = iota
	EndServed               // it was served
	EndRejected             // it was rejected: repeating it is safe
	EndFailed               // it failed
	EndCancelled            // its client cancelled it
	EndClientLeft           // its client's connection ended
	endReasons
)

var endReasonNames = [endReasons]string{
	EndOpen:       "open",
	EndServed:     "served",
	EndRejected:   "rejected",
	EndFailed:     "failed",
	EndCancelled:  "cancelled",
	EndClientLeft: "client_left",
}

// String is the name under which a reason is recorded.
func (r EndReason) String() string { return endReasonNames[r] }

// isResponse reports whether the client was given a final response.
func (r EndReason) isResponse() bool { return r == EndServed || r == EndRejected || r == EndFailed }
