package standin

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"
)

// Answer is a router's answer to a request.
type Answer struct {
	Word, Fields, Body string
	After              time.Duration
}

// Client is one connection to a router.
type Client struct {
	socket net.Conn

	mu      sync.Mutex
	lastTag int
	waiting map[string]chan Answer
}

// Dial connects to a router.
func Dial(address string) (*Client, error) {
	socket, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	client := &Client{socket: socket, waiting: map[string]chan Answer{}}
	go client.read()
	return client, nil
}

// Close closes the connection.
func (c *Client) Close() { _ = c.socket.Close() }

func (c *Client) read() {
	reader := bufio.NewReader(c.socket)
	for {
		words, err := readFrame(reader)
		if err != nil || len(words) < 2 {
			words = nil
		}
		c.mu.Lock()
		if words == nil {
			for _, waiting := range c.waiting {
				close(waiting)
			}
			c.waiting = map[string]chan Answer{}
			c.mu.Unlock()
			return
		}
		if waiting := c.waiting[words[0]]; waiting != nil {
			words = append(words, "", "")
			waiting <- Answer{Word: words[1], Fields: words[2], Body: words[3]}
			delete(c.waiting, words[0])
		}
		c.mu.Unlock()
	}
}

// send sends a message and returns the channel of its answer.
func (c *Client) send(verb string, words ...string) (chan Answer, error) {
	answer := make(chan Answer, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastTag++
	tag := strconv.Itoa(c.lastTag)
	c.waiting[tag] = answer
	_, err := c.socket.Write(frame(append([]string{verb, tag}, words...)...))
	return answer, err
}

// await waits for an answer. The word of the answer is empty if the connection ended or nothing came in time.
func await(answer chan Answer, limit time.Duration) Answer {
	started := time.Now()
	got := Answer{}
	select {
	case got = <-answer:
	case <-time.After(limit):
	}
	got.After = time.Since(started)
	return got
}

// Ping reports whether the router is up.
func (c *Client) Ping() bool {
	answer, err := c.send("PING", "")
	return err == nil && await(answer, time.Second).Word == "UP"
}

// NewID returns a random id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()|1) }

// Get sends a request for an object and waits for its answer.
func (c *Client) Get(class, id, object string, timeout time.Duration, more string) (Answer, error) {
	answer, err := c.send("DO", class, requestFields(id, object, timeout)+more, "")
	if err != nil {
		return Answer{}, err
	}
	return await(answer, timeout+time.Second), nil
}

// Write sends a write and does not wait for its answer, which is read and dropped.
func (c *Client) Write(class, body string, timeout time.Duration) error {
	_, err := c.send("DO", class, requestFields(NewID(), NewID(), timeout), body)
	return err
}

func requestFields(id, object string, timeout time.Duration) string {
	return fmt.Sprintf("req=%s,timeout=%d,subject=%s,piece=0,lot=1", id, timeout.Milliseconds(), object)
}
