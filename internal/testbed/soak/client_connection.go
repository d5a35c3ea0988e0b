package soak

import (
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"fennelarch/internal/fake/site"
	"fennelarch/internal/testbed"

	"github.com/tidwall/redcon"
)

const (
	writeTimeout = time.Second
	// answeredRetention is how long an answered request is kept, so that a second answer is detected.
	answeredRetention = 2 * time.Second
	// fragmentInterval is the pause between the fragments of a request that is written slowly.
	fragmentInterval = 20 * time.Millisecond
	minFragmentBytes = 20
)

var errConnectionClosed = errors.New("connection closed")

// connectionState is the state of a client's connection.
type connectionState uint8

const (
	connectionOpen connectionState = iota
	connectionClosed
)

// clientConnection is one connection of a client.
type clientConnection struct {
	group  *clientGroup
	stream net.Conn
	readMu sync.Mutex // held by pauseReads while read must wait

	mu        sync.Mutex
	state     connectionState
	lastTag   int
	requests  map[string]*Request // by tag, including those answered recently
	readPause interval            // the latest pause in reading
}

func newClientConnection(group *clientGroup, stream net.Conn) *clientConnection {
	c := &clientConnection{group: group, stream: stream, requests: map[string]*Request{}}
	group.running.Go(c.read)
	return c
}

func (c *clientConnection) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == connectionOpen
}

func (c *clientConnection) hasCapacity() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered() < maxInFlight
}

// unanswered returns the number of requests in flight. The caller must hold c.mu.
func (c *clientConnection) unanswered() (count int) {
	for _, request := range c.requests {
		if request.isInFlight() {
			count++
		}
	}
	return count
}

// inFlight returns the number of requests that may still get an answer.
func (c *clientConnection) inFlight() (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connectionOpen {
		return 0
	}
	for _, request := range c.requests {
		if request.isInFlight() && time.Since(request.SentAt) < request.Timeout+time.Second {
			count++
		}
	}
	return count
}

func (c *clientConnection) nextTag() string {
	c.lastTag++
	return strconv.Itoa(c.lastTag)
}

// send writes a request.
func (c *clientConnection) send(request *Request) (tag string, err error) {
	return c.sendWith(request, func(frame []byte) error {
		_, err := c.stream.Write(frame)
		return err
	})
}

// sendFragmented writes a request in fragments, as a slow client does.
func (c *clientConnection) sendFragmented(request *Request) (tag string, err error) {
	return c.sendWith(request, func(frame []byte) error {
		for len(frame) > minFragmentBytes {
			n := 1 + len(frame)/4
			if _, err := c.stream.Write(frame[:n]); err != nil {
				return err
			}
			frame = frame[n:]
			time.Sleep(fragmentInterval)
		}
		_, err := c.stream.Write(frame)
		return err
	})
}

func (c *clientConnection) sendWith(request *Request, write func(frame []byte) error) (tag string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connectionOpen {
		return "", errConnectionClosed
	}
	tag = c.nextTag()
	frame := encodeRequest(request, tag)
	request.WriteStartedAt = time.Now()
	c.requests[tag] = request
	request.MayHaveCrossedClose = c.unanswered() == 1
	c.group.record.update(func() { c.group.record.requests[request.ID] = request })
	_ = c.stream.SetWriteDeadline(request.WriteStartedAt.Add(writeTimeout))
	if err := write(frame); err != nil {
		c.connectionLost(err)
		return tag, err
	}
	request.SentAt = time.Now()
	return tag, nil
}

func encodeRequest(request *Request, tag string) []byte {
	body := ""
	if request.Class.IsWrite {
		body = strings.Repeat("signed ", 1+int(request.Object%400))
	}
	message := testbed.ClientRequest{
		ID: request.ID, Class: request.Class.Name, Object: site.Object{ID: request.Object},
		Group: int(request.Object % purgeGroups), SizeKB: sizeKB(request.Object), Timeout: request.Timeout,
		CachedVersion: request.CachedVersion, Body: body,
	}
	return message.Frame(tag)
}

// cancel cancels a request that has no answer yet.
func (c *clientConnection) cancel(tag string, request *Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connectionOpen || !request.isInFlight() || c.requests[tag] != request {
		return
	}
	_ = c.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.stream.Write(testbed.CancelFrame(tag)); err != nil {
		c.connectionLost(err)
		return
	}
	request.CancelledAt = time.Now()
}

// disconnect closes or resets the connection from the client's side.
func (c *clientConnection) disconnect(how ConnectionEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connectionOpen {
		return
	}
	now := time.Now()
	for _, request := range c.requests {
		if request.Answers == 0 {
			request.DisconnectedAt = now
			request.ReadsPaused = c.readPause.overlaps(request.WriteStartedAt, now)
		}
	}
	c.state = connectionClosed
	if how == EndedByReset {
		site.ResetConnection(c.stream)
		return
	}
	_ = c.stream.Close()
}

// pauseReads stops reading for a while, and meanwhile sends requests and pings and cancels some of the requests.
func (c *clientConnection) pauseReads() {
	c.readMu.Lock()
	defer func() {
		c.mu.Lock()
		c.readPause.until = time.Now()
		c.mu.Unlock()
		c.readMu.Unlock()
	}()
	c.mu.Lock()
	c.readPause = interval{from: time.Now()}
	c.mu.Unlock()
	const requests = 8
	for range requests {
		request := c.group.newRequest()
		request.Timeout = 2 * time.Second
		tag, err := c.send(request)
		if err != nil {
			return
		}
		if c.group.float64() < 0.6 {
			time.Sleep(c.group.randMilliseconds(30))
			c.cancel(tag, request)
		}
		c.sendPings()
	}
	time.Sleep(200*time.Millisecond + c.group.randMilliseconds(600))
}

// sendPings sends many pings at once.
func (c *clientConnection) sendPings() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connectionOpen {
		return
	}
	const count = 30
	var pings []byte
	for range count {
		pings = append(pings, testbed.PingFrame(c.nextTag())...)
	}
	_ = c.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = c.stream.Write(pings)
}

func (c *clientConnection) read() {
	reader := redcon.NewReader(c.stream)
	for {
		c.readMu.Lock()
		c.readMu.Unlock() //nolint:staticcheck // waits here while reads are paused
		command, err := reader.ReadCommand()
		c.mu.Lock()
		if err != nil {
			c.connectionLost(err)
			c.mu.Unlock()
			return
		}
		c.receive(command.Args, time.Now())
		c.mu.Unlock()
	}
}

// receive records a response. The caller must hold c.mu.
func (c *clientConnection) receive(words [][]byte, now time.Time) {
	tag, response := testbed.ParseResponse(words)
	if tag == testbed.ConnectionRejected {
		for _, request := range c.requests {
			request.WasConnectionRejected = request.Answers == 0
		}
	}
	request := c.requests[tag]
	if request == nil {
		return
	}
	for _, other := range c.requests {
		other.MayHaveCrossedClose = false
	}
	if request.Answers++; request.Answers > 1 {
		return
	}
	request.AnsweredAt, request.Status = now, response.Status
	request.IsNotModified, request.Body = response.IsNotModified, response.Body
	request.ReadsPaused = c.readPause.overlaps(request.WriteStartedAt, now)
	if _, createdAt, isIntact := site.ParseBody(response.Body); isIntact {
		c.group.cached.Store(request.Object, site.Checksum(createdAt))
	}
	time.AfterFunc(answeredRetention, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.requests, tag)
	})
}

// connectionLost records that the connection has ended. The caller must hold c.mu.
func (c *clientConnection) connectionLost(err error) {
	if c.state != connectionOpen {
		return
	}
	c.state = connectionClosed
	how := EndedByClose
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		how = EndedByReset
	}
	now := time.Now()
	for _, request := range c.requests {
		if request.Answers == 0 {
			request.ReadsPaused = c.readPause.overlaps(request.WriteStartedAt, now)
			request.EndedAt, request.ConnectionEnd = now, how
		}
	}
	_ = c.stream.Close()
}
