package invariant

// CloseReason says why a connection is closed.
type CloseReason uint8

// The reasons. Those before CloseIdle are for connections of clients, the rest for connections to servers.
const (
	CloseClientLeft        CloseReason = iota // the client closed it
	CloseReadFailed                           // the system reports that it is broken
	CloseWriteFailed                          // the same, or the client reads nothing for too long
	CloseClientMalformed                      // the client sent what is not a message
	CloseIncomplete                           // a message was not complete for too long
	CloseClientIdle                           // no request was open on it for too long
	CloseClientForCapacity                    // its place is needed for another
	CloseShutdown                             // the router shuts down
	CloseHandshake                            // the TLS handshake failed
	CloseRejected                             // it was not admitted
	CloseIdle                                 // no attempt was in flight on it for too long
	CloseServerForCapacity                    // it is idle, and its descriptor is needed
	CloseServerSuspect                        // it may be stuck, or hold half of a response; it is idle
	CloseServerEnded                          // the server closed it, or it broke
	CloseServerWrite                          // the server accepts no more bytes
	CloseServerMalformed                      // the server sent what is not a response
	CloseHalfWritten                          // an attempt was aborted while it was half written
	CloseServerMoved                          // the server has another address, or its address another server
	CloseDialFailed                           // it was never established
	closeReasons
)

var closeReasonNames = [closeReasons]string{
	CloseClientLeft:        "client_left",
	CloseReadFailed:        "read_failed",
	CloseWriteFailed:       "write_failed",
	CloseClientMalformed:   "malformed",
	CloseIncomplete:        "incomplete",
	CloseClientIdle:        "idle",
	CloseClientForCapacity: "for_capacity",
	CloseShutdown:          "shutdown",
	CloseHandshake:         "handshake_failed",
	CloseRejected:          "rejected",
	CloseIdle:              "server_idle",
	CloseServerForCapacity: "server_for_capacity",
	CloseServerSuspect:     "server_suspect",
	CloseServerEnded:       "server_ended",
	CloseServerWrite:       "server_write_failed",
	CloseServerMalformed:   "server_malformed",
	CloseHalfWritten:       "server_half_written",
	CloseServerMoved:       "server_moved",
	CloseDialFailed:        "server_dial_failed",
}

// String is the name under which a reason is counted and recorded.
func (r CloseReason) String() string { return closeReasonNames[r] }

// isByClient reports whether the client itself, or the network, ended the connection.
func (r CloseReason) isByClient() bool {
	return r == CloseClientLeft || r == CloseReadFailed || r == CloseWriteFailed || r == CloseHandshake
}

// requiresIdle reports whether a reason holds only for a connection with no attempt in flight.
func (r CloseReason) requiresIdle() bool {
	return r == CloseIdle || r == CloseServerForCapacity || r == CloseServerSuspect
}
