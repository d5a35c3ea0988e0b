package upstream

// The deadline that a server is told: what the client has left when the request is written, however long it waited.

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
	// deadlineSlack is how far a deadline that is passed on may exceed what the client has left.
	deadlineSlack = 150 * time.Millisecond

	// waitBeforeWrite is how long a request waits in these tests.
	waitBeforeWrite = 400 * time.Millisecond
)

// deadlineIn reads the deadline out of a request on the wire.
func deadlineIn(t *testing.T, text string) time.Duration {
	t.Helper()
	_, rest, isFound := strings.Cut(text, fieldDeadline)
	if !isFound {
		t.Fatalf("no deadline in %q", text)
	}
	millis, err := strconv.Atoi(rest[:strings.IndexAny(rest, ",\r")])
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(millis) * time.Millisecond
}

// A request waits for its connection to come up, for the frame before it, or for a dial that is overdue and is taken to
// another connection: each time the deadline shrinks by the wait.
func TestDeadlineShrinksWhileWaiting(t *testing.T) {
	left := time.Until(newAttempt(1).Deadline) - waitBeforeWrite
	check := func(t *testing.T, deadline time.Duration) {
		t.Helper()
		if deadline > left+deadlineSlack {
			t.Errorf("the server is told %v, the client has %v left", deadline, left)
		}
	}

	t.Run("slow dial", func(t *testing.T) {
		socket := newHeldSocket(takesAll)
		pool := newPoolWithSockets(t, nil, socket)
		dial := pool.dial
		pool.dial = func(network, address string, timeout time.Duration) (net.Conn, error) {
			time.Sleep(waitBeforeWrite)
			return dial(network, address, timeout)
		}
		pool.sendAttempt(1, 1)
		check(t, deadlineIn(t, receive(t, socket.taken)))
	})

	t.Run("frame before it", func(t *testing.T) {
		socket := newHeldSocket(takesAll)
		pool := newPoolWithSockets(t, oneConnection, socket)
		pool.sendAttempt(1, 1)
		receive(t, socket.taken)
		pool.sendAttempt(2, 1)
		time.Sleep(waitBeforeWrite)
		socket.writeResult <- nil
		check(t, deadlineIn(t, receive(t, socket.taken)))
	})

	t.Run("moved to another connection", func(t *testing.T) {
		server := newScriptedServer(t)
		pool := newTestPool(t, func(l *limits.Limits) {
			l.SlowConnect, l.ConnectionsPerEndpoint = 5*time.Millisecond, 2
		})
		pool.listEndpoint(1, routing.Ready, server.Addr().String())
		busy := pool.sendAttempt(1, 1)
		receive(t, server.verbs)
		ends := pool.holdFirstDial()
		moved := pool.sendAttempt(2, 1)
		time.Sleep(waitBeforeWrite)
		server.answers <- true
		pool.wantResult(routing.Succeeded, busy)
		receive(t, server.verbs)
		check(t, time.Duration(server.deadlineMillis.Load())*time.Millisecond)
		server.answers <- true
		pool.wantResult(routing.Succeeded, moved)
		ends <- errScripted
	})
}
