//go:build !faults

package system

// This file is the normal build of the package, which passes each call on to the standard library.

import (
	"context"
	"net"
	"os"
	"time"
)

// InjectsFaults reports whether this build injects faults.
const InjectsFaults = false

func listen(network, address string) (net.Listener, error) { return net.Listen(network, address) }

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, address)
}

func readFile(name string) ([]byte, error) { return os.ReadFile(name) }

func open(name string) (*os.File, error) { return os.Open(name) }

func wallClock() time.Time { return time.Now() }
