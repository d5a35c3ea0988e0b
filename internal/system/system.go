// Package system makes the system calls of the service that can fail for reasons outside the program: listening,
// dialing, reading files and reading the wall clock. The normal build passes every call on to the standard library. A
// build with the tag "faults", which the soak test uses, makes some calls fail by a seeded plan (see faults.go). A
// release build must not carry that tag; .ci/run checks this.
//
// The package also classifies the errors of such calls: which are temporary, which concern this machine only, and which
// say something about the peer.
package system

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// Listen is like [net.Listen].
func Listen(network, address string) (net.Listener, error) { return listen(network, address) }

// DialTimeout is like [net.DialTimeout].
func DialTimeout(network, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return dial(ctx, network, address)
}

// DialContext is like [net.Dialer.DialContext].
func DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return dial(ctx, network, address)
}

// ReadFile is like [os.ReadFile].
func ReadFile(name string) ([]byte, error) { return readFile(name) }

// LoadKeyPair is like [tls.LoadX509KeyPair]: it reads a certificate and its private key from PEM files.
func LoadKeyPair(certFile, keyFile string) (tls.Certificate, error) {
	certificate, err := readFile(certFile)
	if err != nil {
		return tls.Certificate{}, err
	}
	key, err := readFile(keyFile)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.X509KeyPair(certificate, key)
}

// Open is like [os.Open].
func Open(name string) (*os.File, error) { return open(name) }

// WallClock returns the current wall clock time without a monotonic reading. The wall clock may step at any moment, so
// the time may be compared with timestamps of other machines but not used to measure durations.
func WallClock() time.Time { return wallClock().Round(0) }

const (
	// maxTries is the number of times that a read or write is tried while it fails with a retryable error.
	maxTries = 20
	// retryInterval is the pause between two tries.
	retryInterval = time.Millisecond
)

// Read reads from a connection. Read retries while the call fails with a temporary error of this machine.
func Read(connection net.Conn, buffer []byte) (n int, err error) {
	for range maxTries {
		n, err = connection.Read(buffer)
		if n > 0 || !isRetryable(err) {
			break
		}
		time.Sleep(retryInterval)
	}
	return n, err
}

// Write writes all of data to a connection. After a short write, or a temporary error of this machine, Write continues
// with the remaining bytes.
func Write(connection net.Conn, data []byte) (written int, err error) {
	for failures := 0; written < len(data) && failures < maxTries; {
		var n int
		n, err = connection.Write(data[written:])
		written += n
		switch {
		case err == nil && n > 0:
		case err == nil || isRetryable(err):
			failures++
			time.Sleep(retryInterval)
		default:
			return written, err
		}
	}
	if written < len(data) && err == nil {
		err = io.ErrShortWrite
	}
	return written, err
}

// isRetryable reports whether a call on an open connection may succeed if it is repeated at once. A call whose deadline
// has passed does not.
func isRetryable(err error) bool {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return IsExhausted(err) || errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.EAGAIN)
}
