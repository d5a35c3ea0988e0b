package frontend

import (
	"net"
	"syscall"
	"time"

	"fennelarch/internal/limits"
	"fennelarch/internal/resp"
)

const (
	rejectReadBytes    = 4 << 10 // maximum input read by rejectWithoutWaiting
	rejectWriteTimeout = time.Millisecond
	discardBufferBytes = 1 << 10 // size of each read whose bytes are discarded
	maxDiscardReads    = 16      // number of these reads
)

// rejectWithoutWaiting rejects the requests that have already arrived, or sends an unsolicited rejection. It does not
// wait for input, because too many connections are being rejected at the same time.
func (s *Server) rejectWithoutWaiting(raw net.Conn, retryAfter time.Duration) {
	bounds := &s.shared.limits
	input, decoder := newRejectionInput(bounds)
	input.Append(readAvailable(raw))
	output := appendRejections(nil, &decoder, &input, bounds.FieldBytes, retryAfter)
	if len(output) == 0 {
		output = unsolicitedRejection(retryAfter)
	}
	_ = raw.SetWriteDeadline(time.Now().Add(rejectWriteTimeout))
	_, _ = raw.Write(output)
}

// newRejectionInput returns a ring and a decoder that discards bodies: all requests are rejected.
func newRejectionInput(bounds *limits.Limits) (resp.Ring, resp.Decoder) {
	decoder := newDecoder(bounds)
	decoder.AllocateBody = func([][]byte, int) ([]byte, resp.BodyDecision) { return nil, resp.BodySkipped }
	return resp.Ring{MaxBytes: bounds.ClientReadBuffer}, decoder
}

// readAvailable reads the input that the kernel holds, without blocking.
func readAvailable(raw net.Conn) []byte {
	buffer, count := make([]byte, rejectReadBytes), 0
	if syscallConn, hasSyscallConn := raw.(syscall.Conn); hasSyscallConn {
		if descriptor, err := syscallConn.SyscallConn(); err == nil {
			_ = descriptor.Read(func(fd uintptr) (isDone bool) { // one attempt, whatever its result
				count, _ = syscall.Read(int(fd), buffer)
				return true
			})
		}
	}
	return buffer[:max(0, count)]
}

// appendRejections appends a rejection for each complete message in the input.
func appendRejections(
	output []byte, decoder *resp.Decoder, input *resp.Ring, maxTagBytes int, retryAfter time.Duration,
) []byte {
	for {
		args, err := decoder.Next(input)
		if args == nil || err != nil {
			return output
		}
		if len(args) < 2 || len(args[1]) > maxTagBytes {
			continue
		}
		status, fields := statusRejected, retryAfterField(retryAfter)
		if verb := string(args[0]); verb != verbRequest && verb != verbPing {
			status, fields = statusFailed, ""
		}
		output = resp.AppendStrings(output, string(args[1]), status, fields, "")
	}
}

// reject rejects the client's first requests, or sends an unsolicited rejection if none arrives in time, and closes the
// connection. It discards further input before it closes: closing a connection with unread input would reset it, and
// the rejection would be lost.
func (s *Server) reject(raw net.Conn, retryAfter time.Duration) {
	defer func() { _ = raw.Close() }()
	bounds := &s.shared.limits
	_ = raw.SetDeadline(time.Now().Add(bounds.CloseLinger))
	responded, err := respondRejected(raw, bounds, retryAfter)
	if err != nil {
		return
	}
	_ = raw.SetDeadline(time.Now().Add(bounds.CloseLinger))
	if !responded {
		if _, err := raw.Write(unsolicitedRejection(retryAfter)); err != nil {
			return
		}
	}
	closeWriteAndDiscard(raw, bounds)
}

// respondRejected reads until a complete message has arrived and rejects all complete messages. It reports whether
// there was one, and the error of the write. It gives up when the input buffer is full, because reads into an empty
// buffer would repeat forever.
func respondRejected(raw net.Conn, bounds *limits.Limits, retryAfter time.Duration) (responded bool, err error) {
	input, decoder := newRejectionInput(bounds)
	for {
		count, readErr := raw.Read(decoder.Buffer(&input))
		decoder.Commit(&input, count)
		output := appendRejections(nil, &decoder, &input, bounds.FieldBytes, retryAfter)
		if len(output) > 0 {
			_, err := raw.Write(output)
			return true, err
		}
		if readErr != nil || input.Room() == 0 {
			return false, nil //nolint:nilerr // the input has ended, but the client may still read a response
		}
	}
}

// closeWriteAndDiscard closes the write side of a connection and discards what the client still sends, up to a limit on
// bytes and time.
func closeWriteAndDiscard(raw net.Conn, bounds *limits.Limits) {
	if halfCloser, canCloseWrite := raw.(interface{ CloseWrite() error }); canCloseWrite {
		_ = halfCloser.CloseWrite()
	}
	_ = raw.SetReadDeadline(time.Now().Add(bounds.CloseLinger))
	discarded := make([]byte, discardBufferBytes)
	for range maxDiscardReads {
		if _, err := raw.Read(discarded); err != nil {
			return
		}
	}
}
