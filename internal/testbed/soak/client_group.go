package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fennelarch/internal/fake/site"
	"fennelarch/internal/testbed"
)

const (
	// targetConnections is the number of connections that a group keeps open, maxInFlight the number of requests that
	// may be in flight on one connection.
	targetConnections = 4
	maxInFlight       = 24
	dialTimeout       = time.Second
	// extraWait is how long after the deadline a client waits before it cancels a request.
	extraWait = 200 * time.Millisecond
	// malformedLifetime is how long a client that violates the protocol stays connected.
	malformedLifetime = 7 * time.Second
)

// clientGroup is all clients of one router: well-behaved clients, and those that cancel, disconnect, pause reading or
// write in fragments. It records the outcome of each request.
type clientGroup struct {
	router    int
	address   string
	record    *Record
	behaviour *clientBehaviour
	objects   int
	traffic   atomic.Int32
	running   sync.WaitGroup // the goroutines of the connections

	mu          sync.Mutex
	rng         *rand.Rand
	connections []*clientConnection
	cached      sync.Map // version of the clients' copy, by object
}

func (g *clientGroup) setTraffic(allowed traffic) { g.traffic.Store(int32(allowed)) }

func (g *clientGroup) allowedTraffic() traffic { return traffic(g.traffic.Load()) }

// pickConnection returns an open connection with capacity or a new connection, or nil if neither can be had.
func (g *clientGroup) pickConnection() *clientConnection {
	g.mu.Lock()
	defer g.mu.Unlock()
	open := g.connections[:0]
	for _, connection := range g.connections {
		if connection.isOpen() {
			open = append(open, connection)
		}
	}
	g.connections = open
	if len(open) >= targetConnections || len(open) > 0 && g.rng.Float64() < 0.95 {
		connection := open[g.rng.IntN(len(open))]
		if connection.hasCapacity() {
			return connection
		}
	}
	if g.allowedTraffic() != allTraffic {
		return nil
	}
	stream, err := net.DialTimeout("tcp", g.address, dialTimeout)
	if err != nil {
		return nil
	}
	connection := newClientConnection(g, stream)
	g.connections = append(g.connections, connection)
	return connection
}

func (g *clientGroup) float64() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.Float64()
}

func (g *clientGroup) intN(n int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.IntN(n)
}

func (g *clientGroup) randMilliseconds(limit int) time.Duration {
	return time.Duration(g.intN(limit)) * time.Millisecond
}

// newRequest returns a random request.
func (g *clientGroup) newRequest() *Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	class := classForDraw(g.rng.Float64())
	popularity := g.rng.Float64()
	request := &Request{
		ID: fmt.Sprintf("%016x", g.rng.Uint64()|1), Router: g.router, Class: class,
		Object: 1 + uint64(popularity*popularity*float64(g.objects)), Timeout: class.Timeout,
	}
	if g.rng.Float64() < 0.1 { // little time is left until the deadline
		request.Timeout = time.Duration(20+g.rng.IntN(200)) * time.Millisecond
	}
	version, isCached := g.cached.Load(request.Object)
	if isCached && g.rng.Float64() < 0.3 && class.Idempotency == Idempotent {
		request.CachedVersion, _ = version.(string)
	}
	return request
}

// sendNext sends a request, and schedules its cancellation or the disconnect of its client.
func (g *clientGroup) sendNext() {
	connection := g.pickConnection()
	if connection == nil {
		return
	}
	request := g.newRequest()
	cancelProbability, disconnectProbability, pausesReads := g.behaviour.current()
	if pausesReads && g.float64() < 0.1 {
		g.running.Go(connection.pauseReads)
		return
	}
	send := connection.send
	if g.float64() < 0.05 {
		send = connection.sendFragmented
	}
	tag, err := send(request)
	if err != nil {
		return
	}
	cancel := func() { connection.cancel(tag, request) }
	switch {
	case g.float64() < disconnectProbability:
		time.AfterFunc(g.randMilliseconds(60), func() {
			if g.float64() < 0.5 {
				connection.disconnect(EndedByReset)
				return
			}
			connection.disconnect(EndedByClose)
		})
	case g.float64() < cancelProbability+0.03:
		time.AfterFunc(g.randMilliseconds(150), cancel)
	default:
		time.AfterFunc(request.Timeout+extraWait, cancel) // the client stops waiting
	}
}

// run sends requests at a mean rate until end.
func (g *clientGroup) run(requestsPerSecond float64, end time.Time) {
	for next := time.Now(); ; {
		g.mu.Lock()
		next = next.Add(time.Duration(g.rng.ExpFloat64() / requestsPerSecond * float64(time.Second)))
		g.mu.Unlock()
		if next.After(end) {
			return
		}
		time.Sleep(time.Until(next))
		if g.allowedTraffic() != noTraffic {
			g.sendNext()
		}
	}
}

// sendMalformed connects and sends bytes that violate the protocol.
func (g *clientGroup) sendMalformed() {
	connection, err := net.DialTimeout("tcp", g.address, dialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(malformedLifetime))
	texts := []string{
		"GET / HTTP/1.1\r\n\r\n", "*3\r\n$99999999\r\n", "*5\r\n$2\r\nDO\r\n$1\r\n7\r\n", "*2\r\n$4\r\nPING\r\n$1", "",
		strings.Repeat("*1\r\n", 20000),
		string(site.Frame("DO", "1", "film", "req=1")) + strings.Repeat("x", 200_000),
	}
	_, _ = io.WriteString(connection, texts[g.intN(len(texts))])
	_, _ = io.Copy(io.Discard, connection)
}

// finish waits until no request is in flight, then closes all connections.
func (g *clientGroup) finish() {
	testbed.WaitFor(5*time.Second, func() bool { return g.inFlight() == 0 })
	time.Sleep(100 * time.Millisecond) // a second answer may still arrive
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, connection := range g.connections {
		connection.disconnect(EndedByClose)
	}
}

// wait waits until the goroutines of all connections have ended.
func (g *clientGroup) wait() { g.running.Wait() }

// inFlight returns the number of requests that may still get an answer.
func (g *clientGroup) inFlight() (count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, connection := range g.connections {
		count += connection.inFlight()
	}
	return count
}
