package golden_test

// This file holds the fake discovery server, which keeps the bytes of the polls.

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

// discoveryServer is a fake of discovery.
type discoveryServer struct {
	address string
	done    chan struct{}

	mu     sync.Mutex
	items  []string
	polls  []string // the heads of the requests; one that is asked again counts once
	change chan struct{}
}

func newDiscoveryServer(t *testing.T) *discoveryServer {
	t.Helper()
	listener := listen(t)
	b := &discoveryServer{address: listener.Addr().String(), done: make(chan struct{}), change: make(chan struct{})}
	t.Cleanup(func() { close(b.done) })
	go acceptEach(listener, b.serve)
	return b
}

// tell adds an event; its text lacks the number.
func (b *discoveryServer) tell(event string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.items = append(b.items, fmt.Sprintf(`{"no":%d,%s}`, len(b.items)+1, event))
	close(b.change)
	b.change = make(chan struct{})
}

// page is what a poll brings.
func (b *discoveryServer) page(after int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := strings.Join(b.items[min(after, len(b.items)):], ",")
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, len(b.items), items)
}

// note keeps the head of a poll.
func (b *discoveryServer) note(head string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.polls) == 0 || b.polls[len(b.polls)-1] != head {
		b.polls = append(b.polls, head)
	}
}

// heads are the polls so far.
func (b *discoveryServer) heads() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.polls...)
}

var afterNumber = regexp.MustCompile(`after=(\d+)`)

// serve answers the polls of one connection. A poll without events is held until there are some.
func (b *discoveryServer) serve(conn net.Conn) {
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
		b.note(head)
		if !b.hold(after) {
			return
		}
		body := b.page(after)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}

// hold waits until there are events after a number, and says whether there are.
func (b *discoveryServer) hold(after int) bool {
	for {
		b.mu.Lock()
		told, change := len(b.items) > after, b.change
		b.mu.Unlock()
		if told {
			return true
		}
		select {
		case <-change:
		case <-b.done:
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
