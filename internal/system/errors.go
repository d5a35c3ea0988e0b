package system

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// Fault says whom a failed call tells something about.
type Fault uint8

const (
	// FaultNone is the class of a call that did not fail.
	FaultNone Fault = iota
	// FaultLocal concerns this machine or process alone: no descriptor, no memory, no port, no route for the moment.
	// It says nothing of the peer.
	FaultLocal
	// FaultRefused is a peer's host that answers, with nobody listening: nothing ran there.
	FaultRefused
	// FaultSilent is a peer, or the way to it, that gives no answer in time.
	FaultSilent
	// FaultBroken is a connection that ended under way.
	FaultBroken
)

// faultsByError is the one table of what errors mean; an error that is not in it counts as a broken connection. The
// first row that matches decides.
var faultsByError = []struct {
	err   error
	fault Fault
}{
	{syscall.EMFILE, FaultLocal},
	{syscall.ENFILE, FaultLocal},
	{syscall.ENOBUFS, FaultLocal},
	{syscall.ENOMEM, FaultLocal},
	{syscall.EAGAIN, FaultLocal},
	{syscall.EINTR, FaultLocal},
	{syscall.EADDRNOTAVAIL, FaultLocal}, // no port is left to dial from
	{syscall.EADDRINUSE, FaultLocal},
	{syscall.ENETDOWN, FaultLocal},
	{syscall.ENETUNREACH, FaultLocal},
	{syscall.EACCES, FaultLocal}, // a filter of this machine
	{syscall.EPERM, FaultLocal},
	{syscall.ECONNREFUSED, FaultRefused},
	{syscall.EHOSTUNREACH, FaultSilent}, // nobody answered for the address
	{syscall.EHOSTDOWN, FaultSilent},
	{syscall.ETIMEDOUT, FaultSilent},
	{os.ErrDeadlineExceeded, FaultSilent},
	{syscall.ECONNRESET, FaultBroken},
	{syscall.ECONNABORTED, FaultBroken},
	{syscall.EPIPE, FaultBroken},
	{io.EOF, FaultBroken},
	{net.ErrClosed, FaultBroken},
}

// Classify says whom an error of dialling, reading or writing tells about.
func Classify(err error) Fault {
	if err == nil {
		return FaultNone
	}
	for _, row := range faultsByError {
		if errors.Is(err, row.err) {
			return row.fault
		}
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return FaultSilent
	}
	return FaultBroken
}

// Exhausted says whether a call failed because the process or the system has no descriptor, or no memory for one.
func Exhausted(err error) bool { return isAnyOf(err, exhaustionErrors) }

// Temporary says whether the same call may well succeed a moment later: resources that come back, an interrupted call,
// an address that its last owner is about to release, a file that is being replaced.
func Temporary(err error) bool {
	return isAnyOf(err, exhaustionErrors) || isAnyOf(err, passingErrors)
}

var (
	exhaustionErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}
	passingErrors    = []error{
		syscall.EINTR, syscall.EAGAIN, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.ESTALE,
		syscall.EBUSY, syscall.ETXTBSY, syscall.EIO,
	}
)

func isAnyOf(err error, targets []error) bool {
	for _, target := range targets {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
