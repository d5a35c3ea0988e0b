package testbed

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fennelarch/internal/fake/site"
)

const (
	floodDialTimeout = 300 * time.Millisecond
	// rejectionWait is how long a new connection waits for a rejection.
	rejectionWait    = 10 * time.Millisecond
	handshakeTimeout = time.Second
)

// floodMode is what a flood does with its connections.
type floodMode uint8

const (
	// floodRequests keeps sending requests on each connection, so that no connection becomes idle.
	floodRequests floodMode = iota
	// floodHalfHandshakes starts TLS handshakes but never completes them.
	floodHalfHandshakes
)

// flood opens connections, as fast as possible or at a rate, and keeps those that are accepted open.
type flood struct {
	address        string   // of the router
	localAddresses []string // used in turn
	tls            *tls.Config
	mode           floodMode

	tried, accepted, rejected, failed atomic.Int64

	requesters sync.WaitGroup
	mu         sync.Mutex
	open       []net.Conn
}

// floodPace says how many connections a flood opens, and how fast.
type floodPace struct {
	connections          int
	connectionsPerSecond float64 // 0: as fast as possible
	workers              int     // number of concurrent attempts to connect
}

// run opens connections and returns after the last attempt to connect.
func (f *flood) run(pace floodPace) {
	var workers sync.WaitGroup
	startedAt := time.Now()
	var next atomic.Int64
	for range pace.workers {
		workers.Go(func() {
			for {
				i := int(next.Add(1) - 1)
				if i >= pace.connections {
					return
				}
				if pace.connectionsPerSecond > 0 {
					offset := time.Duration(float64(i) / pace.connectionsPerSecond * float64(time.Second))
					time.Sleep(time.Until(startedAt.Add(offset)))
				}
				f.connect(f.localAddresses[i%len(f.localAddresses)])
			}
		})
	}
	workers.Wait()
}

// connect opens one connection and counts the outcome.
func (f *flood) connect(localAddress string) {
	number := f.tried.Add(1)
	stream, err := dialFrom(localAddress, f.address, floodDialTimeout)
	if err != nil {
		f.failed.Add(1)
		return
	}
	switch {
	case f.mode == floodHalfHandshakes:
		_, _ = stream.Write([]byte{22, 3, 1, 2}) // an incomplete header of a TLS record
	case f.tls != nil:
		if stream, err = handshake(stream, f.tls); err != nil {
			f.rejected.Add(1)
			return
		}
	}
	if isRejected(stream) {
		f.rejected.Add(1)
		_ = stream.Close()
		return
	}
	f.accepted.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open = append(f.open, stream)
	if f.mode == floodRequests {
		f.requesters.Go(func() { f.sendRequests(stream, uint64(number)) })
	}
}

// isRejected reports whether a router rejects a new connection, which it does immediately.
func isRejected(stream net.Conn) bool {
	_ = stream.SetReadDeadline(time.Now().Add(rejectionWait))
	buffer := make([]byte, 64)
	n, err := stream.Read(buffer)
	if n > 0 && strings.Contains(string(buffer[:n]), StatusBusy) {
		return true
	}
	return err != nil && !os.IsTimeout(err)
}

// sendRequests requests objects that no server has cached, four every 40 ms, until the connection ends.
func (f *flood) sendRequests(stream net.Conn, number uint64) {
	_ = stream.SetReadDeadline(time.Time{})
	f.requesters.Go(func() { _, _ = io.Copy(io.Discard, stream) })
	const burst, interval = 4, 40 * time.Millisecond
	for i := uint64(1); ; i++ {
		request := ClientRequest{
			ID: fmt.Sprintf("%016x", uint64(time.Now().UnixNano())^number<<40), Class: classClip,
			Object: site.Object{ID: number<<20 | i}, Group: 1, SizeKB: 30, Timeout: 3 * time.Second,
		}
		if _, err := stream.Write(request.Frame(strconv.FormatUint(i, 10))); err != nil {
			return
		}
		if i%burst == 0 {
			time.Sleep(interval)
		}
	}
}

// end closes all connections.
func (f *flood) end() {
	f.mu.Lock()
	for _, stream := range f.open {
		_ = stream.Close()
	}
	f.open = nil
	f.mu.Unlock()
	f.requesters.Wait()
}

// dialFrom connects to an address from a local address.
func dialFrom(localAddress, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(localAddress)}}
	return dialer.Dial("tcp", address)
}

// handshake performs a TLS handshake on a connection, and closes the connection if it fails.
func handshake(stream net.Conn, config *tls.Config) (net.Conn, error) {
	secure := tls.Client(stream, config)
	_ = secure.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := secure.Handshake(); err != nil {
		_ = stream.Close()
		return nil, err
	}
	return secure, nil
}

// loopbackAddresses returns the given number of loopback addresses from which a flood can connect.
func loopbackAddresses(count int) (list []string) {
	for i := range count {
		list = append(list, fmt.Sprintf("127.%d.%d.%d", 10+i/62500, i/250%250, 1+i%250))
	}
	return list
}
