package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

// testClient is a client connection to the router.
type testClient struct {
	t       *testing.T
	conn    net.Conn
	lastTag int // tag of the last request

	mu       sync.Mutex
	answers  map[string][][]string // by tag
	isClosed bool                  // whether the router has closed the connection
}

// newTestClient returns a client on a connection. The client reads answers only after read is called.
func newTestClient(t *testing.T, conn net.Conn) *testClient {
	t.Helper()
	return &testClient{t: t, conn: conn, answers: map[string][][]string{}}
}

// read starts to collect the answers, until the connection ends, and returns the client.
func (c *testClient) read() *testClient {
	go func() {
		for reader := redcon.NewReader(c.conn); ; {
			command, err := reader.ReadCommand()
			if err != nil {
				c.mu.Lock()
				c.isClosed = true
				c.mu.Unlock()
				return
			}
			c.addAnswer(command.Args)
		}
	}()
	return c
}

func (c *testClient) addAnswer(parts [][]byte) {
	tag := string(parts[0])
	var words []string
	for _, part := range parts[1:] {
		words = append(words, string(part))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[tag] = append(c.answers[tag], words)
}

func (c *testClient) write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Error(err)
	}
}

// request sends a request for an object, with a timeout in milliseconds, and returns its tag.
func (c *testClient) request(class string, object, timeoutMS int, body string) string {
	c.t.Helper()
	c.lastTag++
	tag := strconv.Itoa(c.lastTag)
	fields := fmt.Sprintf("req=%016x,timeout=%d,subject=%016x,piece=0,lot=1,need=30,ver=00000000000000bc",
		time.Now().UnixNano(), timeoutMS, object)
	c.write(frame("DO", tag, class, fields, body))
	return tag
}

func (c *testClient) answerCount(tag string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.answers[tag])
}

// awaitAnswer waits for the answer to a tag, checks that there is only one, and returns it.
func (c *testClient) awaitAnswer(tag string) []string {
	c.t.Helper()
	await(c.t, "an answer to tag "+tag, func() bool { return c.answerCount(tag) > 0 })
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.answers[tag]) != 1 {
		c.t.Errorf("got %d answers to tag %s, want 1", len(c.answers[tag]), tag)
	}
	return c.answers[tag][0]
}

// expectAnswer waits for the answer to a tag and checks that it starts with a text.
func (c *testClient) expectAnswer(tag, want string) {
	c.t.Helper()
	if got := c.awaitAnswer(tag); !strings.HasPrefix(strings.Join(got, " "), want) {
		c.t.Errorf("got answer %.80q, want %s", got, want)
	}
}

// expectServed requests an object and checks that the request is served.
func (c *testClient) expectServed(object int) {
	c.t.Helper()
	c.expectAnswer(c.request("clip", object, 2000, ""), "OK")
}

// awaitRequestAt requests one object after another until a server receives one of the requests.
func (c *testClient) awaitRequestAt(server *fakeServer) {
	c.t.Helper()
	object := 0
	await(c.t, "a request at "+server.uid, func() bool {
		object++
		c.expectServed(object)
		return server.receivedCount(verbFetch) > 0
	})
}

// awaitClose waits until the router has closed the connection.
func (c *testClient) awaitClose() {
	c.t.Helper()
	await(c.t, "the router to close a connection", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.isClosed
	})
}

// expectClose waits until the router has closed the connection, and checks that it was not reset.
func (c *testClient) expectClose() {
	c.t.Helper()
	c.awaitClose()
	_ = c.conn.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := c.conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		c.t.Errorf("connection ended with %v, want EOF", err)
	}
}
