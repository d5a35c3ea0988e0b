package upstream

import (
	"testing"
	"time"

	"fennelarch/internal/limits"
	"fennelarch/policy/routing"
)

// One connection comes up late, though its server lives: what waits for it goes by another, and is aborted there;
// nothing of it goes by the late one, which serves the next.
func TestOverdueDialIsReplaced(t *testing.T) {
	for name, dialEnd := range map[string]error{"comes up late": nil, "fails late": errScripted} {
		t.Run(name, func(t *testing.T) {
			server := newScriptedServer(t)
			pool := newTestPool(t, func(l *limits.Limits) { l.SlowConnect = 5 * time.Millisecond })
			ends := pool.holdFirstDial()
			pool.listEndpoint(1, routing.Ready, server.Addr().String())
			attempt := pool.sendAttempt(1, 1)
			server.answers <- true
			pool.wantResult(routing.Succeeded, attempt) // by a second dial
			attempt = pool.sendAttempt(2, 1)
			receive(t, server.verbs)
			receive(t, server.verbs)
			if !pool.Abort(attempt) {
				t.Error("it may have run")
			}
			server.answers <- false
			ends <- dialEnd
			pool.wantNoResult()
			left := 1
			if dialEnd == nil {
				left = 2 // one that is suspect, one that came late
			}
			pool.waitForConnectionCount(left)
			attempt = pool.sendAttempt(3, 1)
			server.answers <- true
			pool.wantResult(routing.Succeeded, attempt)
		})
	}
}

// Two dials are overdue at once, and a third connection has a response: the first attempt that waits goes by it then.
// What is overdue for good fails as such.
func TestWaitingAttemptMovesToIdleConnection(t *testing.T) {
	server := newScriptedServer(t)
	pool := newTestPool(t, func(l *limits.Limits) { l.SlowConnect, l.ConnectionsPerEndpoint = 5*time.Millisecond, 2 })
	pool.listEndpoint(1, routing.Ready, server.Addr().String())
	busy := pool.sendAttempt(1, 1)
	receive(t, server.verbs)
	ends := pool.holdFirstDial()
	waiting := pool.sendAttempt(2, 1)
	time.Sleep(30 * time.Millisecond) // overdue by now, and no capacity for another dial
	server.answers <- true
	pool.wantResult(routing.Succeeded, busy)
	server.answers <- true
	pool.wantResult(routing.Succeeded, waiting)
	busy = pool.sendAttempt(3, 1)
	receive(t, server.verbs) // of 2
	receive(t, server.verbs)
	waiting = pool.sendAttempt(4, 1) // for the overdue one again
	ends <- errScripted
	pool.wantResult(routing.ConnectFailed, waiting)
	server.answers <- true
	pool.wantResult(routing.Succeeded, busy)
}

// Only a connection that is up, idle and not suspect, and that had a response since the dial began, takes what waits
// for an overdue dial.
func TestProvenConnection(t *testing.T) {
	dialStarted := time.Now()
	proven := func() *connection {
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
		"proven":                   {func(*connection) {}, true},
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
			c := proven()
			test.change(c)
			if got := c.isProvenSince(dialStarted); got != test.want {
				t.Errorf("%v, not %v", got, test.want)
			}
		})
	}
}
