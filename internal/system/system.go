// Package system is the one place where the service makes system calls that can fail for reasons outside the program:
// listening, dialling, reading files, reading the wall clock. The ordinary build passes every call straight through; a
// build with the tag "faults" fails some of them by a plan drawn from a seed (see faults.go), which the soak test uses.
// A deploy build must never carry that tag; .ci/run checks it.
//
// The package also classifies the errors of such calls: which are temporary, which concern this machine only, and
// which tell something of the peer.
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

// Listen opens a listening socket.
func Listen(network, address string) (net.Listener, error) { return listen(network, address) }

// DialTimeout opens a connection, and gives up after the timeout.
func DialTimeout(network, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return dial(ctx, network, address)
}

// DialContext opens a connection, and gives up when the context ends.
func DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return dial(ctx, network, address)
}

// ReadFile reads a whole file.
func ReadFile(name string) ([]byte, error) { return readFile(name) }

// LoadKeyPair reads a certificate and its key, both as PEM.
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

// Open opens a file for reading.
func Open(name string) (*os.File, error) { return open(name) }

// WallClock is the time of day. It may step at any moment and carries no monotonic reading: it serves to compare with
// timestamps of other machines, never to measure a duration.
func WallClock() time.Time { return wallClock().Round(0) }

const (
	// maxTries bounds how often a read or write is made that fails for want of memory.
	maxTries = 20
	// retryInterval is the time between them.
	retryInterval = time.Millisecond
)

// Read reads the bytes that have come. A call that failed with a temporary error of this machine is made again.
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

// Write writes all of data, unless it fails for good: after a short write, or one with a temporary error of this
// machine, it goes on with the rest.
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

// isRetryable says whether a call on an open connection may succeed when it is made again at once. One whose deadline
// has passed may not.
func isRetryable(err error) bool {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return Exhausted(err) || errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.EAGAIN)
}
