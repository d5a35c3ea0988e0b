package golden_test

// This file holds the fake discovery server, which records the heads of the polls.

import (
	"bufio"
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// discoveryServer is a fake discovery server.
type discoveryServer struct {
	address string
	done    chan struct{}

	mu     sync.Mutex
	items  []string
	polls  []string // the heads of the polls, without consecutive duplicates
	change chan struct{}
}

func newDiscoveryServer(t *testing.T) *discoveryServer {
	t.Helper()
	listener := listen(t)
	d := &discoveryServer{address: listener.Addr().String(), done: make(chan struct{}), change: make(chan struct{})}
	t.Cleanup(func() { close(d.done) })
	go acceptEach(listener, d.serve)
	return d
}

// publish adds an event, given as JSON without the number and the braces.
func (d *discoveryServer) publish(event string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.items = append(d.items, fmt.Sprintf(`{"no":%d,%s}`, len(d.items)+1, event))
	close(d.change)
	d.change = make(chan struct{})
}

// page returns the response to a poll for the events after a number.
func (d *discoveryServer) page(after int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	items := strings.Join(d.items[min(after, len(d.items)):], ",")
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, len(d.items), items)
}

// recordPoll records the head of a poll.
func (d *discoveryServer) recordPoll(head string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.polls) == 0 || d.polls[len(d.polls)-1] != head {
		d.polls = append(d.polls, head)
	}
}

// pollHeads returns the heads of the polls so far.
func (d *discoveryServer) pollHeads() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.polls...)
}

var afterNumber = regexp.MustCompile(`after=(\d+)`)

// serve answers the polls on one connection. It holds a poll until there are events for it.
func (d *discoveryServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for in := bufio.NewReader(conn); ; {
		head, err := readHead(in)
		if err != nil {
			return
		}
		after := 0
		if match := afterNumber.FindStringSubmatch(head); match != nil {
			after, _ = strconv.Atoi(match[1])
		}
		d.recordPoll(head)
		if !d.waitForEvents(after) {
			return
		}
		body := d.page(after)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}

// waitForEvents waits until there are events after a number. It returns false if the test ends first.
func (d *discoveryServer) waitForEvents(after int) bool {
	for {
		d.mu.Lock()
		hasEvents, change := len(d.items) > after, d.change
		d.mu.Unlock()
		if hasEvents {
			return true
		}
		select {
		case <-change:
		case <-d.done:
			return false
		}
	}
}

// readHead reads the head of an HTTP request.
func readHead(in *bufio.Reader) (string, error) {
	var head strings.Builder
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return "", err
		}
		head.WriteString(line)
		if line == "\r\n" {
			return head.String(), nil
		}
	}
}
