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

// startServer starts a server whose engine takes every message and never responds.
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

// connectAndSend opens a connection, sends text and returns the result of the first read.
func connectAndSend(t *testing.T, address net.Addr, text string) (conn net.Conn, response string) {
	t.Helper()
	conn = dial(t, address)
	write(t, conn, text)
	buffer := make([]byte, 100)
	n, _ := conn.Read(buffer)
	return conn, string(buffer[:n])
}

// At the limit on connections, an idle connection is closed for a new one. If all are busy, the new connection is
// rejected, and requests in flight go on.
func TestTooManyClients(t *testing.T) {
	address, server := startServer(t, Options{}, func(l *limits.Limits) {
		l.ClientConnections, l.ClientIdleTimeout = 3, 200*time.Millisecond
	})
	// A connection counts as busy until its writer has recorded the write, slightly after the client may have read it.
	awaitBusy := func(count int64) {
		await(t, "the expected number of connections is busy", func() bool { return server.busyCount.Load() == count })
	}
	for range 10 {
		if _, got := connectAndSend(t, address, frame("PING", "1")); got != pong("1") {
			t.Fatalf("unexpected response: %q", got)
		}
		awaitBusy(0)
	}
	idle, _ := connectAndSend(t, address, frame("PING", "1"))
	for range 6 { // connections that never send anything
		dial(t, address)
	}
	_, _ = idle.Write([]byte(frame("PING", "2")))
	if n, err := idle.Read(make([]byte, 100)); err != nil || n != len(pong("2")) {
		t.Errorf("an idle client's connection was closed for clients that send nothing: %v", err)
	}
	for busy := range int64(3) { // these connections stay busy with a request in flight
		awaitBusy(busy)
		if _, got := connectAndSend(t, address, frame("PING", "1")+do(2, "")); got != pong("1") {
			t.Fatalf("unexpected response: %q", got)
		}
	}
	awaitBusy(3)
	if _, got := connectAndSend(t, address, frame("PING", "1")); got != frame("1", "BUSY", "", "") {
		t.Errorf("a fourth client got %q", got)
	}
	await(t, "three connections are left, all busy", func() bool {
		return server.ConnectionCount() <= 3 && server.busyCount.Load() == 3
	})
}
