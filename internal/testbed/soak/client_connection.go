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
	// answeredKept is how long an answered request stays known: a second answer would be seen.
	answeredKept = 2 * time.Second
	// pieces of a request that is written slowly come pieceInterval apart.
	pieceInterval = 20 * time.Millisecond
	minPieceBytes = 20
)

var errConnectionClosed = errors.New("connection closed")

// connectionState is what has become of a connection.
type connectionState uint8

const (
	connectionOpen connectionState = iota
	connectionClosed
)

// clientConnection is one connection of a client.
type clientConnection struct {
	group   *clientGroup
	stream  net.Conn
	reading sync.Mutex // held while it reads nothing

	mu        sync.Mutex
	state     connectionState
	lastTag   int
	requests  map[string]*Request // by tag; those answered lately are kept
	readPause interval            // when it last read nothing
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

// unanswered is how many requests are in flight; the caller holds the mutex.
func (c *clientConnection) unanswered() (count int) {
	for _, request := range c.requests {
		if request.isInFlight() {
			count++
		}
	}
	return count
}

// inFlight is how many requests may still get an answer.
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

// sendInPieces writes a request in pieces, as a slow client does.
func (c *clientConnection) sendInPieces(request *Request) (tag string, err error) {
	return c.sendWith(request, func(frame []byte) error {
		for len(frame) > minPieceBytes {
			n := 1 + len(frame)/4
			if _, err := c.stream.Write(frame[:n]); err != nil {
				return err
			}
			frame = frame[n:]
			time.Sleep(pieceInterval)
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
	request.IsAloneAndUnread = c.unanswered() == 1
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

// disconnect ends the connection from this side.
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
			request.ReadsPausedMeantime = c.readPause.overlaps(request.WriteStartedAt, now)
		}
	}
	c.state = connectionClosed
	if how == EndedByReset {
		site.ResetConnection(c.stream)
		return
	}
	_ = c.stream.Close()
}

// pauseReads reads nothing for a while; meanwhile it sends much, and cancels some of it.
func (c *clientConnection) pauseReads() {
	c.reading.Lock()
	defer func() {
		c.mu.Lock()
		c.readPause.until = time.Now()
		c.mu.Unlock()
		c.reading.Unlock()
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
			time.Sleep(c.group.milliseconds(30))
			c.cancel(tag, request)
		}
		c.sendPings()
	}
	time.Sleep(200*time.Millisecond + c.group.milliseconds(600))
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
		c.reading.Lock()
		c.reading.Unlock() //nolint:staticcheck // it waits here while it is to read nothing
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

// receive records a response.
func (c *clientConnection) receive(words [][]byte, now time.Time) {
	tag, response := testbed.ParseResponse(words)
	if tag == testbed.ConnectionRejected {
		for _, request := range c.requests {
			request.WasRejectedUnread = request.Answers == 0
		}
	}
	request := c.requests[tag]
	if request == nil {
		return
	}
	for _, other := range c.requests {
		other.IsAloneAndUnread = false
	}
	if request.Answers++; request.Answers > 1 {
		return
	}
	request.AnsweredAt, request.Status = now, response.Status
	request.IsNotModified, request.Body = response.IsNotModified, response.Body
	request.ReadsPausedMeantime = c.readPause.overlaps(request.WriteStartedAt, now)
	if _, createdAt, isIntact := site.ParseBody(response.Body); isIntact {
		c.group.cached.Store(request.Object, site.Checksum(createdAt))
	}
	time.AfterFunc(answeredKept, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.requests, tag)
	})
}

// connectionLost records that the connection has ended; the caller holds the mutex.
func (c *clientConnection) connectionLost(err error) {
	if c.state != connectionOpen {
		return
	}
	c.state = connectionClosed
	how := EndedOrderly
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		how = EndedByReset
	}
	now := time.Now()
	for _, request := range c.requests {
		if request.Answers == 0 {
			request.ReadsPausedMeantime = c.readPause.overlaps(request.WriteStartedAt, now)
			request.EndedAt, request.ConnectionEnd = now, how
		}
	}
	_ = c.stream.Close()
}
