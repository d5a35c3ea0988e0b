//go:build faults

package system

// This file is the fault-injecting build of the package, for the soak test only. Calls fail with errors that Linux
// documents. The faults are drawn from a seeded generator, so the same plan and the same order of calls give the same
// faults.
//
// The environment variable FENNELARCH_FAULTS holds the plan as words:
//
//	seed=7 accept=0.01 dial=0.02 read=0.005 write=0.005 reset=0.001 file=0.1 listen=2 clock=3s:+1h,8s:-5s
//
// The rates are probabilities per call. The word listen gives the number of listen calls that fail before one succeeds.
// The word clock lists steps of the wall clock, each as the time after the start and the size of the step.

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
	randomStream    = 11 // second half of the generator's seed; the plan gives the first half
	defaultPlanSeed = 1
)

// InjectsFaults reports whether this build injects faults.
const InjectsFaults = true

// The errors with which calls fail. A change of their order or number changes the faults that a seed produces.
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
	after time.Duration // time after the start
	by    time.Duration // size of the step
}

// faultPlan determines which calls fail and how often.
type faultPlan struct {
	acceptRate, dialRate, readRate, writeRate, resetRate, fileRate float64 // probabilities per call

	clockSteps []clockStep
	startedAt  time.Time

	mu             sync.Mutex
	random         *rand.Rand
	listenFailures int // number of listen calls that are still to fail
}

// plan is the fault plan of the process.
var plan = mustParsePlan(os.Getenv(planVariable))

// mustParsePlan parses a plan. If the plan is invalid, mustParsePlan prints an error that names the invalid word and
// exits.
func mustParsePlan(text string) *faultPlan {
	parsed, err := parsePlan(text)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", planVariable, err)
		os.Exit(exitBadPlan)
	}
	return parsed
}

var (
	errBadRate      = errors.New("rate is not between 0 and 1")
	errUnknownFault = errors.New("unknown fault")
)

// parsePlan parses a plan; its error names the invalid word.
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

// setRate sets the rate of a kind of calls.
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

// parseClockSteps parses a list such as 3s:+1h,8s:-5s.
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

// draw returns, with the probability rate, a random one of errs, and otherwise nil.
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

// drawByteCount returns the size of a short read or write: a random number from 1 to bytes.
func (p *faultPlan) drawByteCount(bytes int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 + p.random.IntN(bytes)
}

// drawListenFailure reports whether a listen call fails, and counts the failure.
func (p *faultPlan) drawListenFailure() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listenFailures <= 0 {
		return false
	}
	p.listenFailures--
	return true
}

// systemError returns the error that package net returns for a failed system call.
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

// faultyListener is a listener whose Accept fails at the planned rate.
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

// faultyConn is a connection with short reads and writes, temporary errors and resets, which the peer sees too.
type faultyConn struct{ *net.TCPConn }

func (c *faultyConn) Read(b []byte) (int, error) {
	if c.drawReset() {
		return 0, systemError("read", syscall.ECONNRESET)
	}
	if err := plan.draw(plan.readRate, transferErrors...); err != nil {
		return 0, systemError("read", err)
	}
	if plan.draw(plan.readRate, syscall.EAGAIN) != nil && len(b) > 0 {
		b = b[:plan.drawByteCount(len(b))] // a short read
	}
	return c.TCPConn.Read(b)
}

func (c *faultyConn) Write(b []byte) (int, error) {
	if c.drawReset() {
		return 0, systemError("write", syscall.EPIPE)
	}
	err := plan.draw(plan.writeRate, transferErrors...)
	if err == nil || len(b) == 0 {
		return c.TCPConn.Write(b)
	}
	n, failed := c.TCPConn.Write(b[:plan.drawByteCount(len(b))])
	if failed != nil || n == len(b) {
		return n, failed
	}
	return n, systemError("write", err)
}

// drawReset reports at random whether the connection breaks now. If so, drawReset closes it, and the peer sees a reset.
func (c *faultyConn) drawReset() bool {
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
