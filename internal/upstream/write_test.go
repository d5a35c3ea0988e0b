package upstream

// These tests close the connection, abort the attempt or let its time run out during a write. A scripted connection
// enforces the order of events.

import (
	"net"
	"testing"
	"time"

	"fennelarch/internal/invariant"
	"fennelarch/internal/limits"
	"fennelarch/policy/routing"
)

// A connection is closed after the system has accepted bytes of an attempt, but before the writer learns of it. The
// attempt may have run if all its bytes were accepted, and has not run otherwise.
func TestCloseDuringWrite(t *testing.T) {
	for name, test := range map[string]struct {
		acceptBytes int
		want        routing.Outcome
	}{
		"whole frame": {acceptAll, routing.ConnectionBroken},
		"one byte":    {1, routing.ConnectFailed},
		"half":        {30, routing.ConnectFailed},
	} {
		t.Run(name, func(t *testing.T) {
			socket := newBlockingSocket(test.acceptBytes)
			pool := newPoolWithSockets(t, nil, socket)
			attempt := pool.sendAttempt(1, 1)
			receive(t, socket.written)
			pool.onlyConnection().close(invariant.CloseServerEnded) // as the reader does after a reset
			pool.wantResult(test.want, attempt)
			if pool.ConnectionCount() != 0 {
				t.Errorf("%d connections, want 0", pool.ConnectionCount())
			}
		})
	}
}

// An attempt that is aborted when partly written is never completed: its connection is closed at once, whether or not
// the server reads. An attempt that waits behind it can be aborted and has not run.
func TestAbortOfHalfWrittenAttemptClosesConnection(t *testing.T) {
	socket, other := newBlockingSocket(10), newBlockingSocket(acceptAll)
	pool := newPoolWithSockets(t, oneConnection, socket, other)
	half := pool.sendAttempt(1, 1)
	receive(t, socket.written)
	behind := pool.sendAttempt(2, 1)
	if pool.Abort(behind) {
		t.Error("attempt that waits behind a write counts as possibly run")
	}
	if !pool.Abort(half) {
		t.Error("attempt counts as not run while its write is in progress")
	}
	select {
	case <-socket.closed:
	case <-time.After(testTimeout):
		t.Fatal("connection not closed: the rest of the attempt may still be written")
	}
	pool.wantNoResult()
	pool.waitForConnectionCount(0)
	pool.sendAttempt(3, 1)
	if text := receive(t, other.written); len(socket.written) > 0 || len(text) < 50 {
		t.Errorf("%q written, and %d more writes on the closed connection", text, len(socket.written))
	}
}

// Two attempts wait for one connection: while the first is being written, the second can be aborted without having run.
func TestOneFrameAtATime(t *testing.T) {
	socket := newBlockingSocket(acceptAll)
	pool := newPoolWithSockets(t, oneConnection, socket)
	release := pool.blockDials()
	first, second := pool.sendAttempt(1, 1), pool.sendAttempt(2, 1)
	close(release)
	if text := receive(t, socket.written); !containsID(text, 1) || containsID(text, 2) {
		t.Errorf("written: %q, want the frame of request 1 only", text)
	}
	if pool.Abort(second) {
		t.Error("attempt without a written byte counts as possibly run")
	}
	socket.writeResult <- nil
	pool.onlyConnection().close(invariant.CloseServerEnded)
	pool.wantResult(routing.ConnectionBroken, first)
	pool.wantNoResult()
	socket.wantNothingWritten(t)
}

// A server does not read: a request that is only partly written after RequestWriteTimeout, a tenth of a second, is
// never completed and has not run.
func TestStalledWriteTimesOut(t *testing.T) {
	const bodyBytes = 8 << 20 // more than the system buffers
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		if socket, err := listener.Accept(); err == nil {
			_ = socket.(*net.TCPConn).SetReadBuffer(4 << 10)
			accepted <- socket
		}
	}()
	pool := newTestPool(t, func(l *limits.Limits) { l.ConnectionsPerEndpoint, l.UpstreamWriteBuffer = 1, bodyBytes })
	pool.listEndpoint(1, routing.Ready, listener.Addr().String())
	attempt := newAttempt(1)
	attempt.Endpoint, attempt.Deadline = 1, time.Now().Add(10*time.Second)
	attempt.Request.Body = make([]byte, bodyBytes)
	started := time.Now()
	pool.Send(attempt)
	pool.wantResult(routing.ConnectFailed, attempt)
	elapsed := time.Since(started)
	if elapsed < testLimits.RequestWriteTimeout || elapsed > testLimits.WriteStallTimeout/2 {
		t.Errorf("write timed out after %v, want RequestWriteTimeout to WriteStallTimeout/2", elapsed)
	}
	socket := receive(t, accepted)
	_ = socket.Close()
}
