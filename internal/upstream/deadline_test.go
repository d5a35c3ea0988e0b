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

// deadlineSlack is how far a deadline that is passed on may exceed what the client has left.
const deadlineSlack = 150 * time.Millisecond

// passedOn reads the deadline out of a request on the wire.
func passedOn(t *testing.T, text string) time.Duration {
	t.Helper()
	_, rest, found := strings.Cut(text, ",wait=")
	if !found {
		t.Fatalf("no deadline in %q", text)
	}
	digits := rest[:strings.IndexAny(rest, ",\r")]
	ms, err := strconv.Atoi(digits)
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(ms) * time.Millisecond
}

// A request waits for its connection to come up, for the frame before it, or for a connection that is late and is taken
// to another: each time the deadline shrinks by the wait.
func TestDeadlineShrinksWhileWaiting(t *testing.T) {
	const wait = 400 * time.Millisecond
	left := time.Until(leg(1).Deadline) - wait
	check := func(name, text string) {
		t.Helper()
		if told := passedOn(t, text); told > left+deadlineSlack {
			t.Errorf("%s: the server is told %v, the client has %v left", name, told, left)
		}
	}

	connection := newWire(1 << 20)
	r := newWired(t, nil, connection)
	dial := r.dial
	r.dial = func(n, a string, d time.Duration) (net.Conn, error) {
		time.Sleep(wait)
		return dial(n, a, d)
	}
	r.send(1, 1)
	check("a late connection", next(t, connection.took))

	connection = newWire(1 << 20)
	r = newWired(t, func(l *limits.Limits) { l.ConnectionsPerEndpoint = 1 }, connection)
	r.send(1, 1)
	next(t, connection.took)
	r.send(2, 1)
	time.Sleep(wait)
	connection.goesOn <- nil
	check("a frame before it", next(t, connection.took))

	s := newStand(t)
	rescued := newRig(t, func(l *limits.Limits) { l.SlowConnect, l.ConnectionsPerEndpoint = 5*time.Millisecond, 2 })
	rescued.list(1, routing.Ready, s.Addr().String())
	busy := rescued.send(1, 1)
	next(t, s.asked)
	ends := rescued.late()
	moved := rescued.send(2, 1)
	time.Sleep(wait)
	s.answer <- true
	rescued.end(routing.Succeeded, busy)
	next(t, s.asked)
	if told := time.Duration(s.wait.Load()) * time.Millisecond; told > left+deadlineSlack {
		t.Errorf("moved to another connection: the server is told %v, the client has %v left", told, left)
	}
	s.answer <- true
	rescued.end(routing.Succeeded, moved)
	ends <- errCut
}
