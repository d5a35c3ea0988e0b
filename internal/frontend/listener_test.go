package frontend

import (
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fennelarch/internal/config"
	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// exhaustedListener has no descriptor for a connection while isExhausted is set, except the server's spare one.
type exhaustedListener struct {
	*net.TCPListener
	spare       *spareDescriptor // used by the accepting goroutine alone, like Accept
	isExhausted atomic.Bool
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.isExhausted.Load() && l.spare.isHeld() {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.TCPListener.Accept()
}

// newExhaustedServer starts a server whose listener is out of descriptors, and which answers no requests.
func newExhaustedServer(t *testing.T, change func(*limits.Limits)) (*Server, *exhaustedListener) {
	t.Helper()
	bounds := testLimits(64)
	change(&bounds)
	server := New(Options{
		Limits: bounds, Names: config.Names{Classes: []string{"clip"}}, Classes: []routing.Class{{}},
		Post: func(time.Time, engine.Message) bool { return true }, Log: zap.NewNop(),
	})
	loopback, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &exhaustedListener{TCPListener: loopback.(*net.TCPListener), spare: server.spare}
	listener.isExhausted.Store(true)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		listener.isExhausted.Store(false)
		_ = loopback.Close()
		<-served
	})
	return server, listener
}

// A brief shortage of descriptors costs waiting clients nothing: no connection is rejected.
func TestBriefDescriptorShortageRejectsNobody(t *testing.T) {
	server, listener := newExhaustedServer(t, func(l *limits.Limits) { l.DescriptorShortageAfter = testTimeout })
	conn := dial(t, listener.Addr())
	write(t, conn, frame("PING", "1"))
	time.Sleep(50 * time.Millisecond)
	listener.isExhausted.Store(false)
	text := make([]byte, len(pong("1")))
	if n, err := conn.Read(text); string(text[:n]) != pong("1") {
		t.Errorf("got %q, error %v, want %q", text[:n], err, pong("1"))
	}
	if counts, _ := server.AdmissionStatus(); counts.Rejected+counts.Dropped > 0 {
		t.Errorf("%d connections rejected, %d dropped, want none", counts.Rejected, counts.Dropped)
	}
}

// During a lasting shortage of descriptors, waiting clients are told to retry, with the spare descriptor. Once there
// are descriptors again, clients are served.
func TestLastingDescriptorShortageRejects(t *testing.T) {
	server, listener := newExhaustedServer(t, func(l *limits.Limits) { l.DescriptorShortageAfter = 20 * time.Millisecond })
	conn := dial(t, listener.Addr())
	write(t, conn, do(7, ""))
	text := make([]byte, 100)
	n, err := conn.Read(text)
	got := string(text[:n])
	if !strings.HasPrefix(got, "-BUSY") && got != frame("7", "BUSY", "", "") {
		t.Errorf("got %q, error %v, want a rejection", got, err)
	}
	if counts, _ := server.AdmissionStatus(); counts.DescriptorsExhausted == 0 {
		t.Error("the shortage was not reported to the admission policy")
	}
	listener.isExhausted.Store(false)
	await(t, "a client is served after the shortage", func() bool {
		_, response := connectAndSend(t, listener.Addr(), frame("PING", "2"))
		return response == pong("2")
	})
}
