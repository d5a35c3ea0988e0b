//go:build faults

package system

// This file is the fault-injecting build of the package. Calls fail in the ways that Linux documents, by a plan that the
// environment gives, drawn from a seed: the same plan and the same order of calls fail alike. It serves the soak test alone.
//
// FENNELARCH_FAULTS holds words: "seed=7 accept=0.01 dial=0.02 read=0.005 write=0.005 reset=0.001 file=0.1 listen=2
// clock=3s:+1h,8s:-5s". Rates are per call; listen is how many calls fail at first; clock steps the wall clock by so much, so long
// after the start.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Faulty says whether this build injects faults.
const Faulty = true

// clockStep sets the wall clock by so much, so long after the start.
type clockStep struct {
	after, by time.Duration
}

// faultPlan is what fails, and how often.
type faultPlan struct {
	accept, dial, read, write, reset, file float64 // rates per call

	steps []clockStep
	began time.Time

	mu     sync.Mutex
	rng    *rand.Rand
	listen int // calls that still fail
}

var plan = mustPlan(os.Getenv("FENNELARCH_FAULTS"))

// mustPlan ends the program on a plan that can't be used, with one line that names the word.
func mustPlan(text string) *faultPlan {
	p, err := parsePlan(text)
	if err != nil {
		fmt.Fprintln(os.Stderr, "FENNELARCH_FAULTS:", err)
		os.Exit(2)
	}
	return p
}

func parsePlan(text string) (*faultPlan, error) {
	p := &faultPlan{began: time.Now()}
	seed := uint64(1)
	rates := map[string]*float64{
		"accept": &p.accept, "dial": &p.dial, "read": &p.read, "write": &p.write, "reset": &p.reset,
		"file": &p.file,
	}
	for i, word := range strings.Fields(text) {
		name, value, _ := strings.Cut(word, "=")
		var err error
		switch rate := rates[name]; {
		case rate != nil:
			*rate, err = strconv.ParseFloat(value, 64)
			if err == nil && (*rate < 0 || *rate > 1) {
				err = fmt.Errorf("a rate is between 0 and 1")
			}
		case name == "seed":
			seed, err = strconv.ParseUint(value, 10, 64)
		case name == "listen":
			p.listen, err = strconv.Atoi(value)
		case name == "clock":
			p.steps, err = parseSteps(value)
		default:
			err = fmt.Errorf("there is no such fault")
		}
		if err != nil {
			return nil, fmt.Errorf("word %d, %q: %w", i+1, word, err)
		}
	}
	p.rng = rand.New(rand.NewPCG(seed, 11))
	return p, nil
}

func parseSteps(text string) (steps []clockStep, err error) {
	for part := range strings.SplitSeq(text, ",") {
		after, by, _ := strings.Cut(part, ":")
		var s clockStep
		if s.after, err = time.ParseDuration(after); err != nil {
			return nil, err
		}
		if s.by, err = time.ParseDuration(by); err != nil {
			return nil, err
		}
		steps = append(steps, s)
	}
	return steps, nil
}

// fails draws whether a call fails, and with which of the errors.
func (p *faultPlan) fails(rate float64, errs ...syscall.Errno) error {
	if rate <= 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rng.Float64() >= rate {
		return nil
	}
	return errs[p.rng.IntN(len(errs))]
}

// cut draws how much of a call of so many bytes goes through.
func (p *faultPlan) cut(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 + p.rng.IntN(n)
}

func operation(name string, err error) error {
	return &net.OpError{Op: name, Net: "tcp", Err: os.NewSyscallError(name, err)}
}

func listen(network, address string) (net.Listener, error) {
	plan.mu.Lock()
	fails := plan.listen > 0
	if fails {
		plan.listen--
	}
	plan.mu.Unlock()
	if fails {
		return nil, operation("listen", syscall.EADDRINUSE)
	}
	l, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	return &faultyListener{l.(*net.TCPListener)}, nil
}

// faultyListener accepts with failures.
type faultyListener struct{ *net.TCPListener }

func (l *faultyListener) Accept() (net.Conn, error) {
	if err := plan.fails(plan.accept, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED,
		syscall.EINTR, syscall.EPROTO, syscall.EHOSTUNREACH, syscall.ENETUNREACH); err != nil {
		return nil, operation("accept", err)
	}
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &faultyConn{TCPConn: c}, nil
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := plan.fails(plan.dial, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.EINTR, syscall.EAGAIN, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ETIMEDOUT); err != nil {
		return nil, operation("connect", err)
	}
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &faultyConn{TCPConn: c.(*net.TCPConn)}, nil
}

// faultyConn reads and writes in pieces, and fails for the moment, or for good by a reset that the peer sees too.
type faultyConn struct{ *net.TCPConn }

func (c *faultyConn) Read(b []byte) (int, error) {
	if c.breaks() {
		return 0, operation("read", syscall.ECONNRESET)
	}
	if err := plan.fails(plan.read, syscall.ENOMEM, syscall.ENOBUFS, syscall.EINTR); err != nil {
		return 0, operation("read", err)
	}
	if plan.fails(plan.read, syscall.EAGAIN) != nil && len(b) > 0 {
		b = b[:plan.cut(len(b))] // a short read
	}
	return c.TCPConn.Read(b)
}

func (c *faultyConn) Write(b []byte) (int, error) {
	if c.breaks() {
		return 0, operation("write", syscall.EPIPE)
	}
	err := plan.fails(plan.write, syscall.ENOMEM, syscall.ENOBUFS, syscall.EINTR)
	if err == nil || len(b) == 0 {
		return c.TCPConn.Write(b)
	}
	n, failed := c.TCPConn.Write(b[:plan.cut(len(b))])
	if failed != nil || n == len(b) {
		return n, failed
	}
	return n, operation("write", err)
}

func (c *faultyConn) breaks() bool {
	if plan.fails(plan.reset, syscall.ECONNRESET) == nil {
		return false
	}
	_ = c.SetLinger(0)
	_ = c.Close()
	return true
}

func readFile(name string) ([]byte, error) {
	if err := plan.fails(plan.file, syscall.EMFILE, syscall.ENFILE, syscall.EINTR, syscall.EIO, syscall.ENOMEM); err != nil {
		return nil, &os.PathError{Op: "open", Path: name, Err: err}
	}
	return os.ReadFile(name)
}

func open(name string) (*os.File, error) {
	if err := plan.fails(plan.file, syscall.EMFILE, syscall.ENFILE, syscall.EINTR); err != nil {
		return nil, &os.PathError{Op: "open", Path: name, Err: err}
	}
	return os.Open(name)
}

func wallClock() time.Time {
	now := time.Now()
	wall := now.Round(0)
	for _, s := range plan.steps {
		if now.Sub(plan.began) >= s.after {
			wall = wall.Add(s.by)
		}
	}
	return wall
}
