package system

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// Classify and IsTemporary recognise errors that are wrapped as package net wraps them.
func TestClassify(t *testing.T) {
	for err, want := range map[error]struct {
		fault     Fault
		temporary bool
	}{
		nil:                          {FaultNone, false},
		syscall.EMFILE:               {FaultLocal, true},
		syscall.ENFILE:               {FaultLocal, true},
		syscall.ENOBUFS:              {FaultLocal, true},
		syscall.ENOMEM:               {FaultLocal, true},
		syscall.EINTR:                {FaultLocal, true},
		syscall.EADDRINUSE:           {FaultLocal, true},
		syscall.EADDRNOTAVAIL:        {FaultLocal, true},
		syscall.ENETUNREACH:          {FaultLocal, false},
		syscall.EACCES:               {FaultLocal, false},
		syscall.ECONNREFUSED:         {FaultRefused, false},
		syscall.EHOSTUNREACH:         {FaultSilent, false},
		syscall.ETIMEDOUT:            {FaultSilent, false},
		os.ErrDeadlineExceeded:       {FaultSilent, false},
		syscall.ECONNRESET:           {FaultBroken, false},
		syscall.EPIPE:                {FaultBroken, false},
		io.EOF:                       {FaultBroken, false},
		errors.New("something else"): {FaultBroken, false},
	} {
		wrapped := err
		if err != nil {
			wrapped = &net.OpError{Op: "dial", Err: fmt.Errorf("connect: %w", err)}
		}
		if got := Classify(wrapped); got != want.fault || IsTemporary(wrapped) != want.temporary {
			t.Errorf("%v: got fault %d, temporary %v", err, got, IsTemporary(wrapped))
		}
	}
}

// scriptedSocket is a connection whose calls return the given results in order.
type scriptedSocket struct {
	net.Conn
	calls []callResult
	moved int // bytes transferred by all calls
}

type callResult struct {
	n   int // most bytes that the call transfers
	err error
}

func (s *scriptedSocket) call(buffer []byte) (int, error) {
	result := s.calls[0]
	s.calls = s.calls[1:]
	n := min(result.n, len(buffer))
	s.moved += n
	return n, result.err
}

func (s *scriptedSocket) Read(buffer []byte) (int, error) { return s.call(buffer) }
func (s *scriptedSocket) Write(data []byte) (int, error)  { return s.call(data) }

// Read and Write repeat calls that are short or fail with a temporary error, and no others.
func TestShortAndFailingCalls(t *testing.T) {
	type transfer = func(net.Conn, []byte) (int, error)
	for _, test := range []struct {
		name    string
		call    transfer
		results []callResult
		bytes   int
		err     error
	}{
		{"read after failures", Read, []callResult{{0, syscall.ENOMEM}, {0, syscall.EINTR}, {3, nil}}, 3, nil},
		{"read of a reset connection", Read, []callResult{{0, syscall.ECONNRESET}}, 0, syscall.ECONNRESET},
		{"write in pieces", Write, []callResult{{4, nil}, {2, syscall.ENOBUFS}, {0, syscall.EINTR}, {100, nil}}, 10, nil},
		{"write to a closed peer", Write, []callResult{{4, nil}, {1, syscall.EPIPE}}, 5, syscall.EPIPE},
		{"write past its deadline", Write, []callResult{{4, os.ErrDeadlineExceeded}}, 4, os.ErrDeadlineExceeded},
	} {
		t.Run(test.name, func(t *testing.T) {
			socket := &scriptedSocket{calls: test.results}
			n, err := test.call(socket, make([]byte, 10))
			if n != test.bytes || socket.moved != test.bytes || !errors.Is(err, test.err) {
				t.Errorf("got %d bytes, the socket transferred %d, error %v", n, socket.moved, err)
			}
			if len(socket.calls) > 0 {
				t.Errorf("%d expected calls were not made", len(socket.calls))
			}
		})
	}
}

// The normal build passes calls on to the standard library unchanged.
func TestPassthrough(t *testing.T) {
	if InjectsFaults {
		t.Skip("this build injects faults")
	}
	listener, err := Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	socket, err := DialTimeout("tcp", listener.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if _, isPlain := socket.(*net.TCPConn); !isPlain {
		t.Errorf("connection is a %T, want *net.TCPConn", socket)
	}
	_ = socket.Close()
	if wall := WallClock(); time.Since(wall) > time.Second || wall != wall.Round(0) {
		t.Error("WallClock differs from the system's clock or has a monotonic reading")
	}
	if _, err := ReadFile(os.DevNull); err != nil {
		t.Error(err)
	}
}
