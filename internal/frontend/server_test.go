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

// Clients that only sit there make room for those that come; where all are busy, the new one is closed. What is in
// hand goes on.
func TestTooManyClients(t *testing.T) {
	l := limits.From(limits.Inputs{MemoryMB: 64, Sockets: 256, StreamsPerConnection: 100, LongestDeadline: 5 * time.Second})
	l.ClientConnections, l.ClientIdleTimeout = 3, 200*time.Millisecond
	s := New(l, config.Names{Classes: []string{"clip"}}, []routing.Class{{}}, Options{}, func(time.Time, engine.Message) bool { return true }, zap.NewNop())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() { _ = s.Serve(ln) }()
	ask := func(text string) (conn net.Conn, answer string) {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = conn.Write([]byte(text))
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		got := make([]byte, 100)
		n, _ := conn.Read(got)
		return conn, string(got[:n])
	}
	up := frame("1", "UP", "", "")
	for range 10 {
		if _, got := ask(frame("PING", "1")); got != up {
			t.Fatalf("%q", got)
		}
	}
	usual, _ := ask(frame("PING", "1"))
	for range 6 { // they never ask
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	_, _ = usual.Write([]byte(frame("PING", "2")))
	_ = usual.SetReadDeadline(time.Now().Add(10 * time.Second))
	if n, err := usual.Read(make([]byte, 100)); err != nil || n != len(up) {
		t.Errorf("a client that rests loses its place to those who never ask: %v", err)
	}
	for range 3 { // busy from now on: a view is open on each
		if _, got := ask(frame("PING", "1") + do(2, "")); got != up {
			t.Fatalf("%q", got)
		}
	}
	if _, got := ask(frame("PING", "1")); got != frame("1", "BUSY", "", "") {
		t.Errorf("a fourth busy client got %q", got)
	}
	for end := time.Now().Add(10 * time.Second); s.ConnectionCount() > 3 || s.busyCount.Load() != 3; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections, %d busy", s.ConnectionCount(), s.busyCount.Load())
		}
	}
}
