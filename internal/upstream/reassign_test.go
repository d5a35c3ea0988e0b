package upstream

import (
	"testing"
	"time"

	"fennelarch/internal/limits"
	"fennelarch/policy/routing"
)

// One dial is slow although the server is up. The attempt that waits for it moves to a replacement connection, and a
// second attempt is aborted there. No part of either is written to the slow connection, which can serve a third.
func TestOverdueDialIsReplaced(t *testing.T) {
	for name, dialEnd := range map[string]error{"comes up late": nil, "fails late": errScripted} {
		t.Run(name, func(t *testing.T) {
			server := newScriptedServer(t)
			pool := newTestPool(t, func(l *limits.Limits) { l.SlowConnect = 5 * time.Millisecond })
			dialResult := pool.blockFirstDial()
			pool.listEndpoint(1, routing.Ready, server.Addr().String())
			attempt := pool.sendAttempt(1, 1)
			server.answers <- true
			pool.wantResult(routing.Succeeded, attempt) // on a second connection
			attempt = pool.sendAttempt(2, 1)
			receive(t, server.verbs)
			receive(t, server.verbs)
			if !pool.Abort(attempt) {
				t.Error("written attempt counts as not run")
			}
			server.answers <- false
			dialResult <- dialEnd
			pool.wantNoResult()
			left := 1
			if dialEnd == nil {
				left = 2 // the suspect one and the slow one
			}
			pool.waitForConnectionCount(left)
			attempt = pool.sendAttempt(3, 1)
			server.answers <- true
			pool.wantResult(routing.Succeeded, attempt)
		})
	}
}

// A dial is overdue while another connection is busy: when a response arrives on that connection, the waiting attempt
// moves to it. An attempt whose overdue dial fails in the end fails with it.
func TestWaitingAttemptMovesToIdleConnection(t *testing.T) {
	server := newScriptedServer(t)
	pool := newTestPool(t, func(l *limits.Limits) { l.SlowConnect, l.ConnectionsPerEndpoint = slowConnect, 2 })
	pool.listEndpoint(1, routing.Ready, server.Addr().String())
	busy := pool.sendAttempt(1, 1)
	receive(t, server.verbs)
	dialResult := pool.blockFirstDial()
	waiting := pool.sendAttempt(2, 1)
	time.Sleep(2 * slowConnect) // the dial is overdue by now, and the limit allows no other
	server.answers <- true
	pool.wantResult(routing.Succeeded, busy)
	server.answers <- true
	pool.wantResult(routing.Succeeded, waiting)
	busy = pool.sendAttempt(3, 1)
	receive(t, server.verbs) // of request 2
	receive(t, server.verbs)
	waiting = pool.sendAttempt(4, 1) // waits for the overdue dial again
	dialResult <- errScripted
	pool.wantResult(routing.ConnectFailed, waiting)
	server.answers <- true
	pool.wantResult(routing.Succeeded, busy)
}

// An attempt that waits for an overdue dial moves only to a connection that is open, idle and not suspect, and has
// received a response since the dial began.
func TestProvenConnection(t *testing.T) {
	dialStarted := time.Now()
	responsive := func() *connection {
		return &connection{
			state:        stateOpen,
			session:      newTestSession(),
			lastResponse: dialStarted.Add(time.Millisecond),
		}
	}
	for name, test := range map[string]struct {
		change func(c *connection)
		want   bool
	}{
		"responsive":               {func(*connection) {}, true},
		"writing":                  {func(c *connection) { c.state = stateWriting }, true},
		"dialling":                 {func(c *connection) { c.state = stateDialing }, false},
		"retired":                  {func(c *connection) { c.state = stateRetired }, false},
		"closed":                   {func(c *connection) { c.state = stateClosed }, false},
		"closed during a write":    {func(c *connection) { c.state = stateClosingWrite }, false},
		"response before the dial": {func(c *connection) { c.lastResponse = dialStarted }, false},
		"busy":                     {func(c *connection) { c.session.enqueue(exchange{attempt: newAttempt(1)}) }, false},
		"suspect":                  {func(c *connection) { c.session.hasSilentAbort = true }, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := responsive()
			test.change(c)
			if got := c.isResponsiveSince(dialStarted); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
