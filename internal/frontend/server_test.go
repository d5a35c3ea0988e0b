package frontend

import (
	"net"
	"testing"
	"time"

	"fennelarch/internal/config"
	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// startServer starts a server whose engine takes everything and responds to nothing.
func startServer(t *testing.T, options Options, changes ...func(*limits.Limits)) (address net.Addr, server *Server) {
	t.Helper()
	bounds := testLimits(64)
	for _, change := range changes {
		change(&bounds)
	}
	options.Limits, options.Log = bounds, zap.NewNop()
	options.Names, options.Classes = config.Names{Classes: []string{"clip"}}, []routing.Class{{}}
	options.Post = func(time.Time, engine.Message) bool { return true }
	server = New(options)
	address, _ = serveOnLoopback(t, server)
	return address, server
}

// connectAndSend opens a connection and returns what its client reads first.
func connectAndSend(t *testing.T, address net.Addr, text string) (conn net.Conn, response string) {
	t.Helper()
	conn = dial(t, address)
	write(t, conn, text)
	buffer := make([]byte, 100)
	n, _ := conn.Read(buffer)
	return conn, string(buffer[:n])
}

// Idle connections are closed for those that come; where all are busy, the new one is rejected. What is in flight
// goes on.
func TestTooManyClients(t *testing.T) {
	address, server := startServer(t, Options{}, func(l *limits.Limits) {
		l.ClientConnections, l.ClientIdleTimeout = 3, 200*time.Millisecond
	})
	// A connection counts as busy until its writer has noted what was written, a moment after the client may have read it.
	awaitBusy := func(count int64) {
		await(t, "the writers have ended", func() bool { return server.busyCount.Load() == count })
	}
	for range 10 {
		if _, got := connectAndSend(t, address, frame("PING", "1")); got != pong("1") {
			t.Fatalf("%q", got)
		}
		awaitBusy(0)
	}
	usual, _ := connectAndSend(t, address, frame("PING", "1"))
	for range 6 { // they never ask
		dial(t, address)
	}
	_, _ = usual.Write([]byte(frame("PING", "2")))
	if n, err := usual.Read(make([]byte, 100)); err != nil || n != len(pong("2")) {
		t.Errorf("a client that is idle loses its place to those who never ask: %v", err)
	}
	for busy := range int64(3) { // busy from now on: a request is in flight on each
		awaitBusy(busy)
		if _, got := connectAndSend(t, address, frame("PING", "1")+do(2, "")); got != pong("1") {
			t.Fatalf("%q", got)
		}
	}
	awaitBusy(3)
	if _, got := connectAndSend(t, address, frame("PING", "1")); got != frame("1", "BUSY", "", "") {
		t.Errorf("a fourth busy client got %q", got)
	}
	await(t, "three connections, all busy", func() bool {
		return server.ConnectionCount() <= 3 && server.busyCount.Load() == 3
	})
}
