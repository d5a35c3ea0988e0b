package invariant

// CloseReason is the reason for closing a connection.
type CloseReason uint8

// The reasons before CloseServerIdle are for client connections, CloseServerIdle and the rest for connections to
// servers.
const (
	CloseClientLeft        CloseReason = iota // the client closed the connection
	CloseReadFailed                           // reading from the client failed
	CloseWriteFailed                          // writing to the client failed, or the client read nothing for too long
	CloseClientMalformed                      // the client sent malformed input
	CloseIncomplete                           // a message stayed incomplete for too long
	CloseClientIdle                           // no request was open for too long
	CloseClientForCapacity                    // an idle connection made room for a new one
	CloseShutdown                             // the router is shutting down
	CloseHandshakeFailed                      // the TLS handshake failed
	CloseRejected                             // admission rejected the connection
	CloseServerIdle                           // no attempt was in flight for too long
	CloseServerForCapacity                    // an idle connection was closed to free its descriptor
	CloseServerSuspect                        // an idle connection might be stuck or hold half a response
	CloseServerEnded                          // the server closed the connection, or the connection broke
	CloseServerWriteFailed                    // writing to the server failed
	CloseServerMalformed                      // the server sent a malformed response
	CloseServerHalfWritten                    // an attempt was aborted after only part of it was written
	CloseServerMoved                          // the server's address changed, or now belongs to another server
	CloseDialFailed                           // the connection was never established
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{
	CloseClientLeft:        "client_left",
	CloseReadFailed:        "read_failed",
	CloseWriteFailed:       "write_failed",
	CloseClientMalformed:   "malformed",
	CloseIncomplete:        "incomplete",
	CloseClientIdle:        "idle",
	CloseClientForCapacity: "for_capacity",
	CloseShutdown:          "shutdown",
	CloseHandshakeFailed:   "handshake_failed",
	CloseRejected:          "rejected",
	CloseServerIdle:        "server_idle",
	CloseServerForCapacity: "server_for_capacity",
	CloseServerSuspect:     "server_suspect",
	CloseServerEnded:       "server_ended",
	CloseServerWriteFailed: "server_write_failed",
	CloseServerMalformed:   "server_malformed",
	CloseServerHalfWritten: "server_half_written",
	CloseServerMoved:       "server_moved",
	CloseDialFailed:        "server_dial_failed",
}

// String returns the name under which a reason is counted and recorded.
func (r CloseReason) String() string { return closeReasonNames[r] }

// isCausedByClient reports whether the client or the network, not the router, ended the connection.
func (r CloseReason) isCausedByClient() bool {
	return r == CloseClientLeft || r == CloseReadFailed || r == CloseWriteFailed || r == CloseHandshakeFailed
}

// requiresIdle reports whether a reason is valid only for a connection without attempts in flight.
func (r CloseReason) requiresIdle() bool {
	return r == CloseServerIdle || r == CloseServerForCapacity || r == CloseServerSuspect
}
