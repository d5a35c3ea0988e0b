package upstream

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fennelarch/internal/flightrecorder"
	"fennelarch/internal/invariant"
	"fennelarch/internal/limits"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// newUnresponsiveListener returns the address of a listener that answers no dial because its queue is full.
func newUnresponsiveListener(t *testing.T) string {
	t.Helper()
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(descriptor), "unresponsive")
	t.Cleanup(func() { _ = file.Close() })
	if err := syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(descriptor, 0); err != nil {
		t.Fatal(err)
	}
	listener, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	for {
		socket, err := net.DialTimeout("tcp", listener.Addr().String(), 200*time.Millisecond)
		if err != nil {
			return listener.Addr().String()
		}
		t.Cleanup(func() { _ = socket.Close() })
	}
}

// A machine that does not answer a dial delays no attempt to others, and the attempt to it did not run.
func TestDialTimeout(t *testing.T) {
	unresponsive, other := newUnresponsiveListener(t), newScriptedServer(t)
	pool := newTestPool(t, nil)
	pool.listEndpoint(1, routing.Ready, unresponsive)
	pool.listEndpoint(2, routing.Ready, other.Addr().String())
	failed, served := pool.sendAttempt(1, 1), pool.sendAttempt(2, 2)
	other.answers <- true
	pool.wantResult(routing.Succeeded, served)
	pool.wantResult(routing.ConnectFailed, failed)
}

// A dial that fails for a local reason is repeated, and says nothing about the server. A dial that finds no route is
// repeated too. A dial that the server refuses is not repeated.
func TestDialFailures(t *testing.T) {
	for _, test := range []struct {
		name     string
		err      error
		failures int // before it succeeds
		want     routing.Outcome
		dials    int64
	}{
		{"no port for a moment", syscall.EADDRNOTAVAIL, 2, routing.Succeeded, 3},
		{"no network", syscall.ENETUNREACH, 100, routing.NotSent, 9},
		{"no route for a moment", syscall.EHOSTUNREACH, 1, routing.Succeeded, 2},
		{"no route", syscall.EHOSTUNREACH, 100, routing.ConnectFailed, 9},
		{"interrupted", syscall.EINTR, 1, routing.Succeeded, 2},
		{"refused", syscall.ECONNREFUSED, 1, routing.ConnectFailed, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := newScriptedServer(t)
			pool := newTestPool(t, func(l *limits.Limits) { l.SlowConnect = 100 * time.Millisecond })
			var dials atomic.Int64
			pool.dial = func(network, address string, timeout time.Duration) (net.Conn, error) {
				if dials.Add(1) <= int64(test.failures) {
					return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", test.err)}
				}
				return net.DialTimeout(network, address, timeout)
			}
			pool.listEndpoint(1, routing.Ready, server.Addr().String())
			attempt := pool.sendAttempt(1, 1)
			server.answers <- true
			pool.wantResult(test.want, attempt)
			if dials.Load() != test.dials {
				t.Errorf("%d dials, want %d", dials.Load(), test.dials)
			}
		})
	}
}

// An attempt that must be sent within a time window, or goes to a draining endpoint, is not sent if the dial takes
// longer.
func TestAttemptExpiresDuringDial(t *testing.T) {
	for name, state := range map[string]routing.EndpointState{
		"idempotency window": routing.Ready,
		"draining":           routing.Draining,
	} {
		t.Run(name, func(t *testing.T) {
			socket := newBlockingSocket(acceptAll)
			pool := newPoolWithSockets(t, nil, socket)
			release := pool.blockDials()
			attempt := newAttempt(1)
			attempt.Endpoint, attempt.NotAfter = 1, time.Now().Add(20*time.Millisecond)
			if state == routing.Draining {
				pool.listEndpoint(1, state, "10.0.0.1:1")
				attempt.NotAfter = time.Now().Add(time.Minute)
			}
			pool.Send(attempt)
			time.Sleep(testLimits.DrainingStartWithin + 30*time.Millisecond)
			close(release)
			pool.wantResult(routing.ConnectFailed, attempt)
			socket.wantNothingWritten(t)
		})
	}
}

// A client leaves while the connection for its attempt is being dialled: no part of the attempt is ever written.
func TestAbortDuringDial(t *testing.T) {
	socket := newBlockingSocket(acceptAll)
	pool := newPoolWithSockets(t, nil, socket)
	release := pool.blockDials()
	attempt := pool.sendAttempt(1, 1)
	if pool.Abort(attempt) {
		t.Error("attempt aborted during the dial counts as possibly run")
	}
	close(release)
	pool.sendAttempt(2, 1)
	if text := receive(t, socket.written); !containsID(text, 2) || containsID(text, 1) {
		t.Errorf("written: %q, want the frame of request 2 only", text)
	}
	pool.wantNoResult()
}

// A request is answered or cancelled, or its deadline passes, while an attempt waits: no part of the attempt is
// written, and the outcome says nothing about the server.
func TestNothingBeginsOnceRequestEnded(t *testing.T) {
	for name, end := range map[string]func(request *invariant.Request){
		"answered":  func(request *invariant.Request) { request.End(invariant.EndServed, time.Now()) },
		"cancelled": func(request *invariant.Request) { request.End(invariant.EndCancelled, time.Now()) },
		"expired":   func(*invariant.Request) { time.Sleep(120 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			socket := newBlockingSocket(acceptAll)
			pool := newPoolWithSockets(t, nil, socket)
			release := pool.blockDials()
			attempt := newAttempt(1)
			attempt.Endpoint, attempt.Deadline = 1, time.Now().Add(100*time.Millisecond)
			monitor := newTestMonitor()
			attempt.Request.Invariants = monitor.NewRequest(1, attempt.Deadline, invariant.RepeatPolicy{})
			pool.Send(attempt)
			end(attempt.Request.Invariants)
			close(release)
			pool.wantResult(routing.NotSent, attempt)
			socket.wantNothingWritten(t)
			if monitor.Violations() != 0 {
				t.Error("attempt that was never begun counts as a violation")
			}
		})
	}
}

func newTestMonitor() *invariant.Monitor {
	return invariant.NewMonitor(zap.NewNop(), flightrecorder.New(64, invariant.ReasonName), nil, nil)
}
