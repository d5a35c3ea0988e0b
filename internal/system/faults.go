//go:build faults

package system

// This file is the fault-injecting build of the package. Calls fail in the ways that Linux documents, by a plan that
// the environment gives, drawn from a seed: the same plan and the same order of calls fail alike. It serves the soak
// test alone.
//
// FENNELARCH_FAULTS holds words:
//
//	seed=7 accept=0.01 dial=0.02 read=0.005 write=0.005 reset=0.001 file=0.1 listen=2 clock=3s:+1h,8s:-5s
//
// Rates are per call; listen is how many calls fail at first; clock steps the wall clock, as often as it has pairs: so
// long after the start, by so much.

import (
	"context"
	"errors"
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

const (
	planVariable    = "FENNELARCH_FAULTS"
	exitBadPlan     = 2
	randomStream    = 11 // of the generator that the seed begins
	defaultPlanSeed = 1
)

// Faulty says whether this build injects faults.
const Faulty = true

// The errors with which calls fail. Their order and number belong to what a seed stands for.
var (
	acceptErrors = []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED,
		syscall.EINTR, syscall.EPROTO, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
	}
	dialErrors = []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.EINTR, syscall.EAGAIN, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ETIMEDOUT,
	}
	transferErrors = []syscall.Errno{syscall.ENOMEM, syscall.ENOBUFS, syscall.EINTR}
	readFileErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.EINTR, syscall.EIO, syscall.ENOMEM}
	openErrors     = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.EINTR}
)

// clockStep is a step of the wall clock.
type clockStep struct {
	after time.Duration // the start
	by    time.Duration
}

// faultPlan is what fails, and how often.
type faultPlan struct {
	acceptRate, dialRate, readRate, writeRate, resetRate, fileRate float64 // per call

	clockSteps []clockStep
	startedAt  time.Time

	mu             sync.Mutex
	random         *rand.Rand
	listenFailures int // still to come
}

var plan = mustPlan(os.Getenv(planVariable))

// mustPlan ends the program on a plan that can't be used, with one line that names the word.
func mustPlan(text string) *faultPlan {
	parsed, err := parsePlan(text)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", planVariable, err)
		os.Exit(exitBadPlan)
	}
	return parsed
}

var (
	errBadRate      = errors.New("a rate is between 0 and 1")
	errUnknownFault = errors.New("there is no such fault")
)

func parsePlan(text string) (*faultPlan, error) {
	parsed := &faultPlan{startedAt: time.Now()}
	seed := uint64(defaultPlanSeed)
	for index, word := range strings.Fields(text) {
		name, value, _ := strings.Cut(word, "=")
		var err error
		switch name {
		case "seed":
			seed, err = strconv.ParseUint(value, 10, 64)
		case "listen":
			parsed.listenFailures, err = strconv.Atoi(value)
		case "clock":
			parsed.clockSteps, err = parseClockSteps(value)
		default:
			err = parsed.setRate(name, value)
		}
		if err != nil {
			return nil, fmt.Errorf("word %d, %q: %w", index+1, word, err)
		}
	}
	parsed.random = rand.New(rand.NewPCG(seed, randomStream))
	return parsed, nil
}

func (p *faultPlan) setRate(name, value string) (err error) {
	rate := map[string]*float64{
		"accept": &p.acceptRate,
		"dial":   &p.dialRate,
		"read":   &p.readRate,
		"write":  &p.writeRate,
		"reset":  &p.resetRate,
		"file":   &p.fileRate,
	}[name]
	if rate == nil {
		return errUnknownFault
	}
	if *rate, err = strconv.ParseFloat(value, 64); err != nil {
		return err
	}
	if *rate < 0 || *rate > 1 {
		return errBadRate
	}
	return nil
}

func parseClockSteps(text string) (steps []clockStep, err error) {
	for part := range strings.SplitSeq(text, ",") {
		after, by, _ := strings.Cut(part, ":")
		var step clockStep
		if step.after, err = time.ParseDuration(after); err != nil {
			return nil, err
		}
		if step.by, err = time.ParseDuration(by); err != nil {
			return nil, err
		}
		steps = append(steps, step)
	}
	return steps, nil
}

// draw draws whether a call fails, and with which of the errors.
func (p *faultPlan) draw(rate float64, errs ...syscall.Errno) error {
	if rate <= 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.random.Float64() >= rate {
		return nil
	}
	return errs[p.random.IntN(len(errs))]
}

// drawLength draws how many bytes of a call go through.
func (p *faultPlan) drawLength(bytes int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 + p.random.IntN(bytes)
}

// drawListenFailure says whether a call of listen fails, and counts it.
func (p *faultPlan) drawListenFailure() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listenFailures <= 0 {
		return false
	}
	p.listenFailures--
	return true
}

// systemError is an error as package net makes it of a failed system call.
func systemError(call string, err error) error {
	return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, err)}
}

func listen(network, address string) (net.Listener, error) {
	if plan.drawListenFailure() {
		return nil, systemError("listen", syscall.EADDRINUSE)
	}
	listener, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	return &faultyListener{listener.(*net.TCPListener)}, nil
}

// faultyListener accepts with failures.
type faultyListener struct{ *net.TCPListener }

func (l *faultyListener) Accept() (net.Conn, error) {
	if err := plan.draw(plan.acceptRate, acceptErrors...); err != nil {
		return nil, systemError("accept", err)
	}
	socket, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &faultyConn{TCPConn: socket}, nil
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := plan.draw(plan.dialRate, dialErrors...); err != nil {
		return nil, systemError("connect", err)
	}
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &faultyConn{TCPConn: socket.(*net.TCPConn)}, nil
}

// faultyConn reads and writes in pieces, and fails temporarily, or for good by a reset that the peer sees too.
type faultyConn struct{ *net.TCPConn }

func (c *faultyConn) Read(b []byte) (int, error) {
	if c.isReset() {
		return 0, systemError("read", syscall.ECONNRESET)
	}
	if err := plan.draw(plan.readRate, transferErrors...); err != nil {
		return 0, systemError("read", err)
	}
	if plan.draw(plan.readRate, syscall.EAGAIN) != nil && len(b) > 0 {
		b = b[:plan.drawLength(len(b))] // a short read
	}
	return c.TCPConn.Read(b)
}

func (c *faultyConn) Write(b []byte) (int, error) {
	if c.isReset() {
		return 0, systemError("write", syscall.EPIPE)
	}
	err := plan.draw(plan.writeRate, transferErrors...)
	if err == nil || len(b) == 0 {
		return c.TCPConn.Write(b)
	}
	n, failed := c.TCPConn.Write(b[:plan.drawLength(len(b))])
	if failed != nil || n == len(b) {
		return n, failed
	}
	return n, systemError("write", err)
}

// isReset draws whether the connection breaks now; if so, the peer sees a reset.
func (c *faultyConn) isReset() bool {
	if plan.draw(plan.resetRate, syscall.ECONNRESET) == nil {
		return false
	}
	_ = c.SetLinger(0)
	_ = c.Close()
	return true
}

func readFile(name string) ([]byte, error) {
	if err := plan.draw(plan.fileRate, readFileErrors...); err != nil {
		return nil, &os.PathError{Op: "open", Path: name, Err: err}
	}
	return os.ReadFile(name)
}

func open(name string) (*os.File, error) {
	if err := plan.draw(plan.fileRate, openErrors...); err != nil {
		return nil, &os.PathError{Op: "open", Path: name, Err: err}
	}
	return os.Open(name)
}

func wallClock() time.Time {
	now := time.Now()
	wall := now.Round(0)
	for _, step := range plan.clockSteps {
		if now.Sub(plan.startedAt) >= step.after {
			wall = wall.Add(step.by)
		}
	}
	return wall
}
