package upstream

// What is being written while its connection is closed, its client leaves, or its time runs out. The peer is a scripted
// connection, so that the order is forced.

import (
	"net"
	"testing"
	"time"

	"fennelarch/internal/invariant"
	"fennelarch/internal/limits"
	"fennelarch/policy/routing"
)

// A connection is closed while the system has taken an attempt whole and the writer does not know it yet: the attempt
// may have run. While it has taken a part, the attempt did not.
func TestCloseDuringWrite(t *testing.T) {
	for name, test := range map[string]struct {
		takesBytes int
		want       routing.Outcome
	}{
		"whole frame": {takesAll, routing.ConnectionBroken},
		"one byte":    {1, routing.ConnectFailed},
		"half":        {30, routing.ConnectFailed},
	} {
		t.Run(name, func(t *testing.T) {
			socket := newHeldSocket(test.takesBytes)
			pool := newPoolWithSockets(t, nil, socket)
			attempt := pool.sendAttempt(1, 1)
			receive(t, socket.taken)
			pool.onlyConnection().close(invariant.CloseServerEnded) // as the reader does at a reset
			pool.wantResult(test.want, attempt)
			if pool.ConnectionCount() != 0 {
				t.Errorf("%d connections", pool.ConnectionCount())
			}
		})
	}
}

// An attempt that is aborted while it is half written never becomes whole: its connection is closed at once, whoever
// reads or not. One that waits behind it is taken back, and did not run.
func TestAbortOfHalfWrittenAttemptClosesConnection(t *testing.T) {
	socket, other := newHeldSocket(10), newHeldSocket(takesAll)
	pool := newPoolWithSockets(t, oneConnection, socket, other)
	half := pool.sendAttempt(1, 1)
	receive(t, socket.taken)
	behind := pool.sendAttempt(2, 1)
	if pool.Abort(behind) {
		t.Error("an attempt that waits behind a write may have run")
	}
	if !pool.Abort(half) {
		t.Error("nobody can tell yet that half an attempt did not run")
	}
	select {
	case <-socket.closed:
	case <-time.After(patience):
		t.Fatal("the rest of it may still go")
	}
	pool.wantNoResult()
	pool.waitForConnectionCount(0)
	pool.sendAttempt(3, 1)
	if text := receive(t, other.taken); len(socket.taken) > 0 || len(text) < 50 {
		t.Errorf("%q went, and %d writes more on the connection that was closed", text, len(socket.taken))
	}
}

// Two attempts wait for one connection: as long as the first is being written, the second can be taken back.
func TestOneFrameAtATime(t *testing.T) {
	socket := newHeldSocket(takesAll)
	pool := newPoolWithSockets(t, oneConnection, socket)
	released := pool.holdDials()
	first, second := pool.sendAttempt(1, 1), pool.sendAttempt(2, 1)
	close(released)
	if text := receive(t, socket.taken); !containsID(text, 1) || containsID(text, 2) {
		t.Errorf("%q", text)
	}
	if pool.Abort(second) {
		t.Error("an attempt of which nothing was given to the system may have run")
	}
	socket.writeResult <- nil
	pool.onlyConnection().close(invariant.CloseServerEnded)
	pool.wantResult(routing.ConnectionBroken, first)
	pool.wantNoResult()
	socket.wantNothingTaken(t)
}

// A server takes no bytes: a request that is half written when its first tenth of a second is over never becomes whole,
// and did not run.
func TestStalledWriteTimesOut(t *testing.T) {
	const bodyBytes = 8 << 20 // more than the system takes
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
		t.Errorf("given up after %v", elapsed)
	}
	socket := receive(t, accepted)
	_ = socket.Close()
}
