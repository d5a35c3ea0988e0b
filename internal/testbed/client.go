package testbed

import (
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"fennelarch/internal/fake/site"

	"github.com/tidwall/redcon"
)

const (
	clientDialTimeout  = time.Second
	clientWriteTimeout = time.Second
	// maxInFlight is the number of requests in flight on a connection at which another connection is opened.
	maxInFlight = 16
	// A connection that holds more than maxRequestsKept requests drops those answered more than answeredRetention ago.
	maxRequestsKept   = 64
	answeredRetention = 2 * time.Second
	// settleTimeout is how long clients wait for the requests in flight at the end of an arm.
	settleTimeout = 7 * time.Second
)

// RequestSpec describes a request that a client is to send.
type RequestSpec struct {
	ScheduledAt      time.Time
	Class            string
	Object           site.Object
	Group            int // purge group of the object
	SizeKB           float64
	Timeout          time.Duration
	LatencyObjective time.Duration
	Body             string
}

// Request is a request of a client and its outcome.
type Request struct {
	RequestSpec
	Router int
	ID     string
	SentAt time.Time // zero: it could not be sent

	Answers        int
	AnsweredAt     time.Time // time of the first answer
	Status         string
	Response       string
	DisconnectedAt time.Time // when the connection ended before the answer, zero: it did not
	IsAbandoned    bool      // the client itself ended the connection before the answer
}

// ResponseTime returns the time from the request's scheduled time to its answer.
func (r *Request) ResponseTime() time.Duration { return r.AnsweredAt.Sub(r.ScheduledAt) }

// IsInTime reports whether the request was served within its latency objective.
func (r *Request) IsInTime() bool {
	return r.Status == StatusOK && r.ResponseTime() <= r.LatencyObjective
}

// Clients sends requests to one router over persistent connections. Requests do not wait for earlier ones.
type Clients struct {
	address string
	router  int
	tls     *tls.Config // nil: plain connections

	readers sync.WaitGroup

	mu          sync.Mutex
	connections []*connection
	requests    []*Request
	rng         *rand.Rand
}

// newClients returns the clients of a router, without connections.
func newClients(router int, address string, seed uint64) *Clients {
	return &Clients{address: address, router: router, rng: rand.New(rand.NewPCG(seed, 3))}
}

// Requests returns all requests so far. Their outcomes may change until settle returns.
func (c *Clients) Requests() []*Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Request(nil), c.requests...)
}

// Send sends a request.
func (c *Clients) Send(spec RequestSpec) {
	request := &Request{RequestSpec: spec, Router: c.router}
	c.mu.Lock()
	request.ID = fmt.Sprintf("%016x", c.rng.Uint64()|1)
	c.requests = append(c.requests, request)
	c.mu.Unlock()
	const attempts = 3
	for range attempts {
		connection := c.pickConnection()
		if connection == nil || connection.send(request) {
			return
		}
	}
}

// pickConnection returns a connection with fewer than maxInFlight requests, or a new one, or nil if it cannot connect.
func (c *Clients) pickConnection() *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := c.connections[:0]
	var found *connection
	for _, candidate := range c.connections {
		inFlight, isClosed := candidate.state()
		if isClosed {
			continue
		}
		open = append(open, candidate)
		if found == nil && inFlight < maxInFlight {
			found = candidate
		}
	}
	c.connections = open
	if found != nil {
		return found
	}
	stream, err := net.DialTimeout("tcp", c.address, clientDialTimeout)
	if err != nil {
		return nil
	}
	if c.tls != nil {
		stream = tls.Client(stream, c.tls)
	}
	dialled := &connection{stream: stream, requests: map[string]*Request{}}
	c.connections = append(c.connections, dialled)
	c.readers.Go(dialled.read)
	return dialled
}

// settle waits until every request that was sent is answered or past its deadline, then closes the connections.
func (c *Clients) settle() {
	WaitFor(settleTimeout, func() bool { return c.inFlight() == 0 })
	time.Sleep(100 * time.Millisecond) // time for a second answer to arrive
	c.mu.Lock()
	for _, connection := range c.connections {
		_ = connection.stream.Close()
	}
	c.mu.Unlock()
	c.readers.Wait()
}

func (c *Clients) inFlight() (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, connection := range c.connections {
		count += connection.awaitedAnswers()
	}
	return count
}

// connection is one connection of a client.
type connection struct {
	stream net.Conn

	mu       sync.Mutex
	lastTag  int
	requests map[string]*Request // by tag; answered ones stay for a while, so that a second answer is noticed
	inFlight int
	isClosed bool
	hasLeft  bool // the client closed the connection
}

// state returns the number of requests without an answer and whether the connection is closed.
func (c *connection) state() (inFlight int, isClosed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight, c.isClosed
}

// awaitedAnswers returns the number of requests that may still be answered.
func (c *connection) awaitedAnswers() (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return 0
	}
	for _, request := range c.requests {
		if request.Answers == 0 && time.Since(request.SentAt) < request.Timeout+100*time.Millisecond {
			count++
		}
	}
	return count
}

// send writes a request. It returns false if the connection has ended.
func (c *connection) send(request *Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return false
	}
	c.lastTag++
	tag := strconv.Itoa(c.lastTag)
	message := ClientRequest{
		ID: request.ID, Class: request.Class, Object: request.Object, Group: request.Group, SizeKB: request.SizeKB,
		Timeout: request.Timeout, Body: request.Body,
	}
	c.requests[tag] = request
	c.inFlight++
	_ = c.stream.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	if _, err := c.stream.Write(message.Frame(tag)); err != nil {
		delete(c.requests, tag)
		c.isClosed, c.hasLeft = true, errors.Is(err, os.ErrDeadlineExceeded)
		_ = c.stream.Close()
		return false
	}
	request.SentAt = time.Now()
	return true
}

func (c *connection) read() {
	reader := redcon.NewReader(c.stream)
	for {
		command, err := reader.ReadCommand()
		now := time.Now()
		if err != nil {
			c.close(now)
			return
		}
		c.receive(command.Args, now)
	}
}

// close closes the connection and records its end in the requests in flight.
func (c *connection) close(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosed = true
	for _, request := range c.requests {
		if request.Answers == 0 {
			request.DisconnectedAt, request.IsAbandoned = now, c.hasLeft
		}
	}
	_ = c.stream.Close()
}

// receive records a response. It keeps answered requests for a while, so that a second answer is counted.
func (c *connection) receive(words [][]byte, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tag, response := ParseResponse(words)
	if request := c.requests[tag]; request != nil {
		if request.Answers++; request.Answers == 1 {
			c.inFlight--
			request.AnsweredAt, request.Status, request.Response = now, response.Status, response.Body
		}
	}
	if len(c.requests) <= maxRequestsKept {
		return
	}
	for tag, request := range c.requests {
		if request.Answers > 0 && now.Sub(request.AnsweredAt) > answeredRetention {
			delete(c.requests, tag)
		}
	}
}
