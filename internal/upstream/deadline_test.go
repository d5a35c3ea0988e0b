package upstream

// These tests check the deadline that is sent to a server: the time that the client has left when the request is
// written, however long the request has waited.

import (
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"fennelarch/internal/limits"
	"fennelarch/policy/routing"
)

const (
	// deadlineSlack is how far a deadline sent to a server may exceed the time that the client has left.
	deadlineSlack = 150 * time.Millisecond

	// waitBeforeWrite is how long a request waits in these tests.
	waitBeforeWrite = 400 * time.Millisecond
)

// deadlineIn returns the deadline in a request frame.
func deadlineIn(t *testing.T, text string) time.Duration {
	t.Helper()
	_, rest, isFound := strings.Cut(text, fieldDeadline)
	if !isFound {
		t.Fatalf("request without deadline: %q", text)
	}
	millis, err := strconv.Atoi(rest[:strings.IndexAny(rest, ",\r")])
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(millis) * time.Millisecond
}

// A request waits for a dial, for the frame before it, or for an overdue dial before it is moved to another connection.
// In each case the deadline shrinks by the time of the wait.
func TestDeadlineShrinksWhileWaiting(t *testing.T) {
	left := time.Until(newAttempt(1).Deadline) - waitBeforeWrite
	check := func(t *testing.T, deadline time.Duration) {
		t.Helper()
		if deadline > left+deadlineSlack {
			t.Errorf("deadline sent to the server: %v, want at most the client's time left, %v, and the slack", deadline, left)
		}
	}

	t.Run("slow dial", func(t *testing.T) {
		socket := newBlockingSocket(acceptAll)
		pool := newPoolWithSockets(t, nil, socket)
		dial := pool.dial
		pool.dial = func(network, address string, timeout time.Duration) (net.Conn, error) {
			time.Sleep(waitBeforeWrite)
			return dial(network, address, timeout)
		}
		pool.sendAttempt(1, 1)
		check(t, deadlineIn(t, receive(t, socket.written)))
	})

	t.Run("frame before it", func(t *testing.T) {
		socket := newBlockingSocket(acceptAll)
		pool := newPoolWithSockets(t, oneConnection, socket)
		pool.sendAttempt(1, 1)
		receive(t, socket.written)
		pool.sendAttempt(2, 1)
		time.Sleep(waitBeforeWrite)
		socket.writeResult <- nil
		check(t, deadlineIn(t, receive(t, socket.written)))
	})

	t.Run("moved to another connection", func(t *testing.T) {
		server := newScriptedServer(t)
		pool := newTestPool(t, func(l *limits.Limits) {
			l.SlowConnect, l.ConnectionsPerEndpoint = slowConnect, 2
		})
		pool.listEndpoint(1, routing.Ready, server.Addr().String())
		busy := pool.sendAttempt(1, 1)
		receive(t, server.verbs)
		dialResult := pool.blockFirstDial()
		moved := pool.sendAttempt(2, 1)
		time.Sleep(waitBeforeWrite)
		server.answers <- true
		pool.wantResult(routing.Succeeded, busy)
		receive(t, server.verbs)
		check(t, time.Duration(server.deadlineMillis.Load())*time.Millisecond)
		server.answers <- true
		pool.wantResult(routing.Succeeded, moved)
		dialResult <- errScripted
	})
}
