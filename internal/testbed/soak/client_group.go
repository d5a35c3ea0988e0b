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
	// usualConnections is how many connections a group keeps, maxInFlight how many requests one carries.
	usualConnections = 4
	maxInFlight      = 24
	dialTimeout      = time.Second
	// extraWait is how long after its deadline a client still waits for a response.
	extraWait = 200 * time.Millisecond
	// malformedLifetime is how long a client that breaks the protocol stays.
	malformedLifetime = 7 * time.Second
)

// clientGroup is all clients of one router: steady ones, and those that cancel, disconnect, read nothing or write in
// pieces. What each request met on its connection is recorded.
type clientGroup struct {
	router    int
	address   string
	record    *Record
	behaviour *clientBehaviour
	objects   int
	traffic   atomic.Int32
	running   sync.WaitGroup // the goroutines of its connections

	mu          sync.Mutex
	rng         *rand.Rand
	connections []*clientConnection
	cached      sync.Map // object to the version of the copy that clients have
}

func (g *clientGroup) setTraffic(allowed traffic) { g.traffic.Store(int32(allowed)) }

func (g *clientGroup) allowedTraffic() traffic { return traffic(g.traffic.Load()) }

// pickConnection is a connection with capacity, or a new one; nil if there is none to be had.
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
	if len(open) >= usualConnections || len(open) > 0 && g.rng.Float64() < 0.95 {
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

func (g *clientGroup) milliseconds(limit int) time.Duration {
	return time.Duration(g.intN(limit)) * time.Millisecond
}

// newRequest draws a request.
func (g *clientGroup) newRequest() *Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	class := classForDraw(g.rng.Float64())
	popularity := g.rng.Float64()
	request := &Request{
		ID: fmt.Sprintf("%016x", g.rng.Uint64()|1), Router: g.router, Class: class,
		Object: 1 + uint64(popularity*popularity*float64(g.objects)), Timeout: class.Timeout,
	}
	if g.rng.Float64() < 0.1 { // little time is left for it
		request.Timeout = time.Duration(20+g.rng.IntN(200)) * time.Millisecond
	}
	version, isCached := g.cached.Load(request.Object)
	if isCached && g.rng.Float64() < 0.3 && class.Idempotency == Idempotent {
		request.CachedVersion, _ = version.(string)
	}
	return request
}

// sendNext sends a request, and does what its client does with it.
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
		send = connection.sendInPieces
	}
	tag, err := send(request)
	if err != nil {
		return
	}
	cancel := func() { connection.cancel(tag, request) }
	switch {
	case g.float64() < disconnectProbability:
		time.AfterFunc(g.milliseconds(60), func() {
			if g.float64() < 0.5 {
				connection.disconnect(EndedByReset)
				return
			}
			connection.disconnect(EndedOrderly)
		})
	case g.float64() < cancelProbability+0.03:
		time.AfterFunc(g.milliseconds(150), cancel)
	default:
		time.AfterFunc(request.Timeout+extraWait, cancel) // it stops waiting
	}
}

// run sends requests at a rate until the end.
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

// sendMalformed connects and sends what breaks the protocol.
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

// settle waits until no request is in flight any more, then closes all connections.
func (g *clientGroup) settle() {
	testbed.WaitFor(5*time.Second, func() bool { return g.inFlight() == 0 })
	time.Sleep(100 * time.Millisecond) // for an answer too many
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, connection := range g.connections {
		connection.disconnect(EndedOrderly)
	}
}

// wait waits until nothing of the connections runs any more.
func (g *clientGroup) wait() { g.running.Wait() }

// inFlight is how many requests may still get an answer.
func (g *clientGroup) inFlight() (count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, connection := range g.connections {
		count += connection.inFlight()
	}
	return count
}
