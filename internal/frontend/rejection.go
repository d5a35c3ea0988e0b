package frontend

import (
	"net"
	"syscall"
	"time"

	"fennelarch/internal/limits"
	"fennelarch/internal/resp"
)

const (
	rejectReadBytes   = 4 << 10 // of what has come, where a rejection waits for nothing
	rejectWriteWithin = time.Millisecond
	discardBytes      = 1 << 10 // of each read of what is passed over
)

// rejectAtOnce responds to what has come by now, or sends an unsolicited rejection, and waits for nothing: too many
// connections are being rejected for that.
func (s *Server) rejectAtOnce(raw net.Conn, retryAfter time.Duration) {
	bounds := &s.shared.limits
	input, decoder := resp.Ring{MaxBytes: bounds.ClientReadBuffer}, newDecoder(bounds)
	input.Append(readNow(raw))
	output := appendRejections(nil, &decoder, &input, bounds.FieldBytes, retryAfter)
	if len(output) == 0 {
		output = unsolicitedRejection(retryAfter)
	}
	_ = raw.SetWriteDeadline(time.Now().Add(rejectWriteWithin))
	_, _ = raw.Write(output)
}

// readNow reads what the system holds of a connection.
func readNow(raw net.Conn) []byte {
	buffer, count := make([]byte, rejectReadBytes), 0
	if withDescriptor, canControl := raw.(syscall.Conn); canControl {
		if descriptor, err := withDescriptor.SyscallConn(); err == nil {
			_ = descriptor.Read(func(fd uintptr) (isDone bool) { // once, whatever comes of it
				count, _ = syscall.Read(int(fd), buffer)
				return true
			})
		}
	}
	return buffer[:max(0, count)]
}

// appendRejections appends the rejection of each complete message that has come.
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

// reject responds to what was asked with the time to retry after, or sends an unsolicited rejection, and closes the
// connection so that it arrives: closing over unread bytes would reset the connection, and the response would be
// lost.
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

// respondRejected reads until a complete message has come, and rejects what has come by then. It says whether
// anything had; the error is that of writing. It gives up once the input is full: a read of no bytes would never end.
func respondRejected(raw net.Conn, bounds *limits.Limits, retryAfter time.Duration) (responded bool, err error) {
	input, decoder := resp.Ring{MaxBytes: bounds.ClientReadBuffer}, newDecoder(bounds)
	for {
		count, readErr := raw.Read(input.Tail())
		input.Commit(count)
		output := appendRejections(nil, &decoder, &input, bounds.FieldBytes, retryAfter)
		if len(output) > 0 {
			_, err := raw.Write(output)
			return true, err
		}
		if readErr != nil || input.Room() == 0 {
			return false, nil //nolint:nilerr // the end of what comes: the client may still read a response
		}
	}
}

// closeWriteAndDiscard says that nothing more will be written, and passes over what the other side still sends,
// within bounds of bytes and time.
func closeWriteAndDiscard(raw net.Conn, bounds *limits.Limits) {
	if half, canCloseWrite := raw.(interface{ CloseWrite() error }); canCloseWrite {
		_ = half.CloseWrite()
	}
	_ = raw.SetReadDeadline(time.Now().Add(bounds.CloseLinger))
	discarded := make([]byte, discardBytes)
	for range bounds.ClientReadBuffer / len(discarded) {
		if _, err := raw.Read(discarded); err != nil {
			return
		}
	}
}
