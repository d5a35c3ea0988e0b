package main

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"
)

// client is a stand-in for a client, with one connection.
type client struct {
	stage *stage
	name  string

	mu         sync.Mutex
	connection net.Conn
	lastTag    int
	waiting    map[string]chan reply
}

// reply is the answer to a request.
type reply struct {
	word, fields, body string
	at                 time.Time
}

var requestCounter struct {
	sync.Mutex
	last uint64
}

// newRequestID returns an id that no request has had.
func newRequestID() string {
	requestCounter.Lock()
	defer requestCounter.Unlock()
	if requestCounter.last == 0 {
		requestCounter.last = uint64(time.Now().UnixNano())
	}
	requestCounter.last++
	return fmt.Sprintf("%016x", requestCounter.last)
}

// connect opens a client's connection to a router.
func (s *stage) connect(name string, to *router) (*client, error) {
	connection, err := net.DialTimeout("tcp", to.address, time.Second)
	if err != nil {
		return nil, err
	}
	created := &client{stage: s, name: name, connection: connection, waiting: map[string]chan reply{}}
	go created.read()
	return created, nil
}

func (c *client) read() {
	reader := newFrameReader(c.connection)
	for {
		words, err := readFrame(reader)
		if err != nil {
			c.mu.Lock()
			for _, channel := range c.waiting {
				close(channel)
			}
			c.waiting = map[string]chan reply{}
			c.mu.Unlock()
			return
		}
		got := reply{word: words[1], at: time.Now()}
		if len(words) > 2 {
			got.fields = words[2]
		}
		if len(words) > 3 {
			got.body = words[3]
		}
		c.mu.Lock()
		channel := c.waiting[words[0]]
		delete(c.waiting, words[0])
		c.mu.Unlock()
		if channel != nil {
			channel <- got
		}
	}
}

// request is what a client asks for.
type request struct {
	class   string
	object  string
	group   int
	timeout time.Duration
	sizeKB  float64
	body    string
	extra   string // further fields
}

// send sends a request and returns its id and the channel of its answer, which is closed if the connection ends.
func (c *client) send(asked request) (id string, answer <-chan reply, err error) {
	id = newRequestID()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastTag++
	tag := strconv.Itoa(c.lastTag)
	channel := make(chan reply, 1)
	c.waiting[tag] = channel
	fields := fmt.Sprintf("req=%s,timeout=%d,subject=%s,piece=0,lot=%d,need=%g",
		id, asked.timeout.Milliseconds(), asked.object, asked.group, asked.sizeKB) + asked.extra
	_, err = c.connection.Write(frame("DO", tag, asked.class, fields, asked.body))
	return id, channel, err
}

// ask sends a request, waits for its answer until its time and a second more are over, and logs it.
func (c *client) ask(asked request) {
	id, answer, err := c.send(asked)
	if err != nil {
		c.stage.log("%s could not send %s: %v", c.name, id, err)
		return
	}
	var got reply
	select {
	case got = <-answer:
	case <-time.After(asked.timeout + time.Second):
	}
	c.stage.log("%s asked for object %s by %s: %s %s %.60s", c.name, asked.object, id, got.word, got.fields, got.body)
}

func (c *client) close() { _ = c.connection.Close() }
