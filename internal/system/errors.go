package system

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// Fault classifies a failed network call by what the failure says about the peer.
type Fault uint8

const (
	// FaultNone means that the call succeeded.
	FaultNone Fault = iota
	// FaultLocal means that this machine or process lacks a resource, such as a descriptor, memory, a port or a route.
	// The failure says nothing about the peer.
	FaultLocal
	// FaultRefused means that the peer's host answered that nothing listens at the address, so no request ran there.
	FaultRefused
	// FaultSilent means that no answer came in time from the peer or from the network on the way to it.
	FaultSilent
	// FaultBroken means that an established connection ended.
	FaultBroken
)

// faultsByError maps errors to faults; the first row that matches decides. Other errors are FaultSilent if they are
// timeouts, and FaultBroken if not.
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
	{syscall.EADDRNOTAVAIL, FaultLocal}, // no local port is free
	{syscall.EADDRINUSE, FaultLocal},
	{syscall.ENETDOWN, FaultLocal},
	{syscall.ENETUNREACH, FaultLocal},
	{syscall.EACCES, FaultLocal}, // a packet filter on this machine
	{syscall.EPERM, FaultLocal},
	{syscall.ECONNREFUSED, FaultRefused},
	{syscall.EHOSTUNREACH, FaultSilent}, // no host answered at the address
	{syscall.EHOSTDOWN, FaultSilent},
	{syscall.ETIMEDOUT, FaultSilent},
	{os.ErrDeadlineExceeded, FaultSilent},
	{syscall.ECONNRESET, FaultBroken},
	{syscall.ECONNABORTED, FaultBroken},
	{syscall.EPIPE, FaultBroken},
	{io.EOF, FaultBroken},
	{net.ErrClosed, FaultBroken},
}

// Classify returns the fault that an error of dialing, reading or writing indicates.
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

// IsExhausted reports whether a call failed because the process or the system is out of descriptors, buffers or memory.
func IsExhausted(err error) bool { return isAnyOf(err, exhaustionErrors) }

// IsTemporary reports whether the same call may succeed a moment later: an exhausted resource, an interrupted call, an
// address that its last owner has not released yet, or a file that is being replaced.
func IsTemporary(err error) bool {
	return isAnyOf(err, exhaustionErrors) || isAnyOf(err, transientErrors)
}

var (
	exhaustionErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}
	transientErrors  = []error{
		syscall.EINTR, syscall.EAGAIN, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.ESTALE,
		syscall.EBUSY, syscall.ETXTBSY, syscall.EIO,
	}
)

// isAnyOf reports whether an error is one of the targets, or wraps one.
func isAnyOf(err error, targets []error) bool {
	for _, target := range targets {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
