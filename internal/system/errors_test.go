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

// What each error tells, and of whom; which are worth another try.
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
		if got := Classify(wrapped); got != want.fault || Temporary(wrapped) != want.temporary {
			t.Errorf("%v: %d, temporary %v", err, got, Temporary(wrapped))
		}
	}
}

// script is a connection whose calls end as they are told to.
type script struct {
	net.Conn
	ends []struct {
		n   int
		err error
	}
	took int
}

func (s *script) call(b []byte) (int, error) {
	end := s.ends[0]
	s.ends = s.ends[1:]
	n := min(end.n, len(b))
	s.took += n
	return n, end.err
}

func (s *script) Read(b []byte) (int, error)  { return s.call(b) }
func (s *script) Write(b []byte) (int, error) { return s.call(b) }

type ends = []struct {
	n   int
	err error
}

// Short and failing calls are made good, as long as they fail for the moment.
func TestShortAndFailingCalls(t *testing.T) {
	s := &script{ends: ends{{0, syscall.ENOMEM}, {0, syscall.EINTR}, {3, nil}}}
	if n, err := Read(s, make([]byte, 10)); n != 3 || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
	s = &script{ends: ends{{0, syscall.ECONNRESET}}}
	if n, err := Read(s, make([]byte, 10)); n != 0 || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%d bytes, %v", n, err)
	}
	s = &script{ends: ends{{4, nil}, {2, syscall.ENOBUFS}, {0, syscall.EINTR}, {100, nil}}}
	if n, err := Write(s, make([]byte, 10)); n != 10 || s.took != 10 || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
	s = &script{ends: ends{{4, nil}, {1, syscall.EPIPE}}}
	if n, err := Write(s, make([]byte, 10)); n != 5 || !errors.Is(err, syscall.EPIPE) {
		t.Errorf("%d bytes, %v", n, err)
	}
	s = &script{ends: ends{{4, os.ErrDeadlineExceeded}}}
	if n, err := Write(s, make([]byte, 10)); n != 4 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes, %v", n, err)
	}
}

// The ordinary build calls the system, and nothing else.
func TestPassthrough(t *testing.T) {
	if Faulty {
		t.Skip("this build injects faults")
	}
	ln, err := Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := DialTimeout("tcp", ln.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if _, plain := c.(*net.TCPConn); !plain {
		t.Errorf("a connection is a %T", c)
	}
	_ = c.Close()
	if wall := WallClock(); time.Since(wall) > time.Second || wall != wall.Round(0) {
		t.Error("the wall clock is not the system's")
	}
	if _, err := ReadFile(os.DevNull); err != nil {
		t.Error(err)
	}
}
