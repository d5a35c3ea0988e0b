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
	// verdictWait is how long a new connection waits for its rejection.
	verdictWait      = 10 * time.Millisecond
	handshakeTimeout = time.Second
)

// floodMode is what a flood does with its connections.
type floodMode uint8

const (
	// floodRequests has each connection send one request after the other: it is never idle.
	floodRequests floodMode = iota
	// floodHalfHandshakes begins TLS handshakes and never finishes them.
	floodHalfHandshakes
)

// flood opens connections, as fast as the machine allows or at a rate, and holds those that are accepted.
type flood struct {
	address string   // of the router
	from    []string // addresses that it comes from
	tls     *tls.Config
	mode    floodMode

	tried, accepted, rejected, failed atomic.Int64

	requesters sync.WaitGroup
	mu         sync.Mutex
	open       []net.Conn
}

// floodPace says how many connections a flood opens.
type floodPace struct {
	connections          int
	connectionsPerSecond float64 // 0: as fast as it can
	workers              int     // that open connections at once
}

// run opens connections, and returns when the last one was tried.
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
				f.connect(f.from[i%len(f.from)])
			}
		})
	}
	workers.Wait()
}

// connect opens one connection, and counts what became of it.
func (f *flood) connect(from string) {
	number := f.tried.Add(1)
	stream, err := dialFrom(from, f.address, floodDialTimeout)
	if err != nil {
		f.failed.Add(1)
		return
	}
	switch {
	case f.mode == floodHalfHandshakes:
		_, _ = stream.Write([]byte{22, 3, 1, 2}) // the head of a record that never comes
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

// isRejected says whether a router rejects a new connection, which it does at once.
func isRejected(stream net.Conn) bool {
	_ = stream.SetReadDeadline(time.Now().Add(verdictWait))
	buffer := make([]byte, 64)
	n, err := stream.Read(buffer)
	if n > 0 && strings.Contains(string(buffer[:n]), StatusBusy) {
		return true
	}
	return err != nil && !os.IsTimeout(err)
}

// sendRequests requests one object that nobody has after the other, four each 40 ms, until the connection ends.
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

// dialFrom connects to an address from another one.
func dialFrom(from, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	return dialer.Dial("tcp", address)
}

// handshake speaks TLS on a connection, which is closed if that fails.
func handshake(stream net.Conn, config *tls.Config) (net.Conn, error) {
	secure := tls.Client(stream, config)
	_ = secure.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := secure.Handshake(); err != nil {
		_ = stream.Close()
		return nil, err
	}
	return secure, nil
}

// loopbackAddresses are so many addresses that a flood may come from.
func loopbackAddresses(count int) (list []string) {
	for i := range count {
		list = append(list, fmt.Sprintf("127.%d.%d.%d", 10+i/62500, i/250%250, 1+i%250))
	}
	return list
}
