// Package system is the one place where the service makes calls of the operating system that can fail for reasons
// outside the program: listening, dialling, reading files, reading the wall clock. The ordinary build passes every
// call straight through; a build with the tag "faults" fails some of them by a plan drawn from a seed (see faults.go),
// which the soak test uses. A deploy build must never carry that tag; .ci/run checks it.
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

// DialTimeout opens a connection, and gives up after a time.
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

// LoadKeyPair reads a certificate and its key.
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
// stamps that others made, never to measure a span.
func WallClock() time.Time { return wallClock().Round(0) }

// tries bounds how often a read or write is tried again that failed for want of memory; retryPause is the time between.
const (
	tries      = 20
	retryPause = time.Millisecond
)

// Read reads what has come. A call that failed for the moment, on this machine, is tried again.
func Read(c net.Conn, b []byte) (n int, err error) {
	for range tries {
		n, err = c.Read(b)
		if n > 0 || !retryable(err) {
			break
		}
		time.Sleep(retryPause)
	}
	return n, err
}

// Write writes the whole of b, unless it fails for good: what a short write, or one that failed for the moment, has left is
// written again.
func Write(c net.Conn, b []byte) (written int, err error) {
	for try := 0; written < len(b) && try < tries; {
		n, failed := c.Write(b[written:])
		written += n
		err = failed
		switch {
		case failed == nil && n > 0:
		case failed == nil || retryable(failed):
			try++
			time.Sleep(retryPause)
		default:
			return written, failed
		}
	}
	if written < len(b) && err == nil {
		err = io.ErrShortWrite
	}
	return written, err
}

// retryable says whether a call on an open connection may succeed when it is made again at once. One that timed out may
// not: its time is up.
func retryable(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) &&
		(Exhausted(err) || errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.EAGAIN))
}
