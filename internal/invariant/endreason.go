package invariant

// EndReason is the way in which a request ended, and thereby the state of the request. EndOpen may change to any other
// value; all others are final.
type EndReason uint8

// The reasons. EndOpen means that the request has not ended.
const (
	EndOpen       EndReason = iota
	EndServed               // the request was served
	EndRejected             // the request was rejected, and repeating it is safe
	EndFailed               // the request failed
	EndCancelled            // the client cancelled the request
	EndClientLeft           // the client's connection ended
	endReasonCount
)

var endReasonNames = [endReasonCount]string{
	EndOpen:       "open",
	EndServed:     "served",
	EndRejected:   "rejected",
	EndFailed:     "failed",
	EndCancelled:  "cancelled",
	EndClientLeft: "client_left",
}

// String returns the name under which a reason is recorded.
func (r EndReason) String() string { return endReasonNames[r] }

// isResponse reports whether the request ended with a final response to the client.
func (r EndReason) isResponse() bool { return r == EndServed || r == EndRejected || r == EndFailed }
