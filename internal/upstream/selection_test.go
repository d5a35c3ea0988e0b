package upstream

import (
	"testing"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/policy/routing"
)

// A connection on which an attempt was aborted without any response is avoided until a response arrives on it.
func TestSuspectConnectionIsAvoided(t *testing.T) {
	server := newScriptedServer(t)
	pool := newTestPool(t, nil)
	pool.listEndpoint(1, routing.Ready, server.Addr().String())
	first := pool.sendAttempt(1, 1)
	receive(t, server.verbs)
	if !pool.Abort(first) {
		t.Error("written attempt counts as not run")
	}
	second := pool.sendAttempt(2, 1)
	if receive(t, server.accepted) == receive(t, server.accepted) {
		t.Error("suspect connection was used again")
	}
	server.answers <- false // to the first
	server.answers <- true
	pool.wantResult(routing.Succeeded, second)
	third := pool.sendAttempt(3, 1)
	server.answers <- true
	pool.wantResult(routing.Succeeded, third)
	if pool.ConnectionCount() > 2 || len(server.accepted) > 0 {
		t.Errorf("%d connections, want at most 2; %d accepted later, want 0", pool.ConnectionCount(), len(server.accepted))
	}
}

// A suspect connection on which nothing is pending is closed when the next attempt is sent.
func TestIdleSuspectConnectionIsClosed(t *testing.T) {
	server := newScriptedServer(t)
	pool := newTestPool(t, nil)
	pool.listEndpoint(1, routing.Ready, server.Addr().String())
	suspect := pool.sendAttempt(1, 1)
	receive(t, server.verbs)
	pool.Abort(suspect)
	server.answers <- false
	second := pool.sendAttempt(2, 1)
	server.answers <- true
	pool.wantResult(routing.Succeeded, second)
	pool.waitForConnectionCount(1)
	if receive(t, server.accepted) == receive(t, server.accepted) {
		t.Error("suspect idle connection was used again")
	}
}

// The end of a connection fails only one attempt while the limits allow a connection for each. An attempt for which
// there is no connection counts as not sent.
func TestConnectionEndFailsOneAttempt(t *testing.T) {
	server := newScriptedServer(t)
	pool := newTestPool(t, func(l *limits.Limits) {
		l.UpstreamConnections, l.ConnectionsPerEndpoint, l.StreamsPerConnection = 2, 2, 2
	})
	pool.listEndpoint(1, routing.Ready, server.Addr().String())
	first := pool.sendAttempt(1, 1)
	socket := receive(t, server.accepted)
	receive(t, server.verbs)
	second := pool.sendAttempt(2, 1)
	receive(t, server.verbs)
	_ = socket.Close()
	pool.wantResult(routing.ConnectionBroken, first)
	server.answers <- false // to the first
	server.answers <- true
	pool.wantResult(routing.Succeeded, second)
	for id := range engine.ClientRequestID(4) {
		pool.sendAttempt(10+id, 1)
	}
	pool.wantResult(routing.NotSent, pool.sendAttempt(20, 1))
	if pool.ConnectionCount() != 2 {
		t.Errorf("%d connections, want 2", pool.ConnectionCount())
	}
}

// Idle connections are closed after the idle timeout, or earlier to make room for others. Endpoints long gone are
// forgotten.
func TestIdleConnectionsAreClosed(t *testing.T) {
	const servers = 4
	pool := newTestPool(t, func(l *limits.Limits) {
		l.UpstreamConnections, l.UpstreamIdleTimeout, l.ForgetAfter = 2, 100*time.Millisecond, 0
	})
	addresses := map[routing.EndpointID]string{}
	for id := routing.EndpointID(1); id <= servers; id++ {
		server := newScriptedServer(t)
		server.answers <- true
		addresses[id] = server.Addr().String()
		pool.listEndpoint(id, routing.Ready, addresses[id])
		pool.wantResult(routing.Succeeded, pool.sendAttempt(engine.ClientRequestID(id), id))
	}
	pool.waitForConnectionCount(0)
	for id, address := range addresses {
		pool.listEndpoint(id, routing.Gone, address)
	}
	pool.listEndpoint(9, routing.Gone, "")
	if len(pool.endpoints) > 1 {
		t.Errorf("%d endpoints kept, want at most 1", len(pool.endpoints))
	}
	pool.wantResult(routing.ConnectFailed, pool.sendAttempt(9, 1))
}
