package soak

import (
	"errors"
	"net"
	"sync"
	"time"

	"fennelarch/internal/fake/site"

	"github.com/tidwall/redcon"
)

const (
	upstreamDialTimeout = time.Second
	proxyBufferBytes    = 32 << 10
	proxyQueueLength    = 1024
)

// proxy is a TCP proxy in front of one server. It records each request when it arrives from a router, and then forwards
// the request as far as the faults in force allow. It keeps reading from routers during faults, so that the recorded
// times of attempts do not depend on the faults.
type proxy struct {
	uid       string
	record    *Record
	link      *linkConditions
	onRequest func(id string)
	listener  net.Listener
	upstream  string
	running   *sync.WaitGroup // the goroutines of all proxies

	mu          sync.Mutex
	unblocked   chan struct{} // closed when the proxy forwards data again; nil: it is not blocked
	connections map[net.Conn]bool
}

func (c *cluster) newProxy(s *server, address string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{
		uid: s.uid, record: c.record, link: c.link, onRequest: func(id string) { c.servers.recordRequest(s, id) },
		listener: listener, upstream: s.frames.Address(), running: &c.proxyGoroutines, connections: map[net.Conn]bool{},
	}
	c.proxyGoroutines.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) stopListening() { _ = p.listener.Close() }

func (p *proxy) accept() {
	for {
		connection, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.running.Go(func() { p.serve(connection) })
	}
}

// block stops the forwarding of data until end is called.
func (p *proxy) block() (end func()) {
	unblocked := make(chan struct{})
	p.mu.Lock()
	p.unblocked = unblocked
	p.mu.Unlock()
	return func() {
		p.mu.Lock()
		if p.unblocked == unblocked {
			p.unblocked = nil
		}
		p.mu.Unlock()
		close(unblocked)
	}
}

func (p *proxy) waitUntilUnblocked() {
	p.mu.Lock()
	unblocked := p.unblocked
	p.mu.Unlock()
	if unblocked != nil {
		<-unblocked
	}
}

// reset resets all connections at once.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for connection := range p.connections {
		site.ResetConnection(connection)
	}
}

// serve forwards one connection of a router.
func (p *proxy) serve(downstream net.Conn) {
	p.mu.Lock()
	p.connections[downstream] = true
	p.mu.Unlock()
	defer func() {
		_ = downstream.Close()
		p.mu.Lock()
		delete(p.connections, downstream)
		p.mu.Unlock()
	}()
	upstream, err := net.DialTimeout("tcp", p.upstream, upstreamDialTimeout)
	if err != nil {
		site.ResetConnection(downstream)
		return
	}
	defer func() { _ = upstream.Close() }()
	requests := make(chan []byte, proxyQueueLength)
	p.running.Go(func() { p.forwardRequests(upstream, downstream, requests) })
	p.running.Go(func() { p.forwardResponses(upstream, downstream) })
	p.readRequests(downstream, requests)
	close(requests)
}

func (p *proxy) forwardRequests(upstream, downstream net.Conn, requests <-chan []byte) {
	defer func() { _ = upstream.Close() }()
	for request := range requests {
		p.waitUntilUnblocked()
		if _, err := upstream.Write(request); err != nil {
			_ = downstream.Close()
		}
	}
}

// readRequests reads from a router, and records each request with the times of its first and last byte.
func (p *proxy) readRequests(downstream net.Conn, requests chan<- []byte) {
	var pending []byte
	var firstByteAt time.Time
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := downstream.Read(buffer)
		now := time.Now()
		if n > 0 {
			if len(pending) == 0 {
				firstByteAt = now
			}
			pending = append(pending, buffer[:n]...)
			pending, firstByteAt = p.recordAttempts(pending, firstByteAt, now)
			requests <- append([]byte(nil), buffer[:n]...)
			if resetProbability, _, _ := p.link.current(); p.link.chance(resetProbability) {
				site.ResetConnection(downstream)
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// recordAttempts records the complete requests at the beginning of pending, and returns the remaining bytes.
func (p *proxy) recordAttempts(pending []byte, firstByteAt, now time.Time) (rest []byte, restFirstByteAt time.Time) {
	for len(pending) > 0 {
		isComplete, args, _, rest, err := redcon.ReadNextCommand(pending, nil)
		if err != nil || !isComplete {
			break
		}
		p.recordAttempt(args, firstByteAt, now)
		pending, firstByteAt = append([]byte(nil), rest...), now
	}
	return pending, firstByteAt
}

func (p *proxy) recordAttempt(args [][]byte, firstByteAt, lastByteAt time.Time) {
	words := make([]string, len(args))
	for i, word := range args {
		words[i] = string(word)
	}
	request, err := site.ParseFetch(words)
	if errors.Is(err, site.ErrNotFetch) {
		return
	}
	attempt := Attempt{
		RequestID: request.ID, Server: p.uid, Source: request.Source, FirstByteAt: firstByteAt, LastByteAt: lastByteAt,
		Timeout: request.Timeout,
	}
	p.record.update(func() { p.record.attempts = append(p.record.attempts, attempt) })
	p.onRequest(attempt.RequestID)
}

// forwardResponses forwards the server's responses to a router, frame by frame unless a fault fragments them.
func (p *proxy) forwardResponses(upstream, downstream net.Conn) {
	defer func() { _ = downstream.Close() }()
	reader := redcon.NewReader(upstream)
	for {
		command, err := reader.ReadCommand()
		if err != nil {
			return
		}
		p.waitUntilUnblocked()
		if !p.forwardResponse(downstream, append([]byte(nil), command.Raw...)) {
			return
		}
	}
}

// forwardResponse forwards one response. It returns false if the connection has ended.
func (p *proxy) forwardResponse(downstream net.Conn, frame []byte) bool {
	resetProbability, corruptProbability, fragments := p.link.current()
	if p.link.chance(corruptProbability) {
		if frame = p.link.corrupt(frame); frame == nil {
			return false
		}
	}
	if p.link.chance(resetProbability) {
		_, _ = downstream.Write(frame[:p.link.intN(len(frame))])
		site.ResetConnection(downstream)
		return false
	}
	if !fragments {
		_, err := downstream.Write(frame)
		return err == nil
	}
	if !p.forwardFragmented(downstream, frame) {
		return false
	}
	if p.link.chance(0.2) {
		time.Sleep(time.Duration(p.link.intN(5)) * time.Millisecond)
		return p.forwardFragmented(downstream, frame)
	}
	return true
}

// forwardFragmented writes a frame in up to five fragments. It returns false if the connection has ended.
func (p *proxy) forwardFragmented(downstream net.Conn, frame []byte) bool {
	const cuts = 4
	for cutsLeft := cuts; len(frame) > 0; cutsLeft-- {
		n := len(frame)
		if cutsLeft > 0 {
			n = 1 + p.link.intN(len(frame))
		}
		if _, err := downstream.Write(frame[:n]); err != nil {
			return false
		}
		frame = frame[n:]
		time.Sleep(time.Duration(p.link.intN(3)) * time.Millisecond)
	}
	return true
}
