package upstream

import (
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fennelarch/internal/config"
	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/internal/resp"
	"fennelarch/policy/routing"

	"github.com/tidwall/redcon"
	"go.uber.org/zap"
)

// patience is how long a test waits for what must come.
const patience = 10 * time.Second

var testLimits = limits.From(limits.Inputs{
	MemoryMB:             64,
	Sockets:              256,
	StreamsPerConnection: 100,
	DrainGrace:           time.Second,
	LongestDeadline:      time.Second,
})

func newAttempt(id engine.ClientRequestID) *engine.Attempt {
	return &engine.Attempt{
		Request:  &engine.Request{ClientRequestID: id, Object: 0xbeef, Part: 3},
		Deadline: time.Now().Add(1500 * time.Millisecond),
	}
}

func frame(words ...string) string { return string(resp.AppendStrings(nil, words...)) }

func receive[T any](t *testing.T, channel chan T) (value T) {
	t.Helper()
	select {
	case value = <-channel:
	case <-time.After(patience):
		t.Fatal("nothing came")
	}
	return value
}

// scriptedServer answers only while it is told to, and counts its connections.
type scriptedServer struct {
	net.Listener
	accepted       chan net.Conn
	verbs          chan string
	answers        chan bool      // one a fetch, in the order in which they came: whether it is answered
	fetches        chan chan bool // those that wait for that
	closing        chan struct{}  // closed at the end of the test
	deadlineMillis atomic.Int64   // that the last request named
}

func newScriptedServer(t *testing.T) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &scriptedServer{
		Listener: listener,
		accepted: make(chan net.Conn, 100),
		verbs:    make(chan string, 100),
		answers:  make(chan bool, 100),
		fetches:  make(chan chan bool, 100),
		closing:  make(chan struct{}),
	}
	go server.dispatchAnswers()
	t.Cleanup(func() {
		_ = listener.Close()
		close(server.closing)
	})
	go server.accept(t)
	return server
}

// dispatchAnswers hands each answer to the fetch that came first, whichever connection it came on.
func (s *scriptedServer) dispatchAnswers() {
	for {
		var fetch chan bool
		select {
		case fetch = <-s.fetches:
		case <-s.closing:
			return
		}
		select {
		case isAnswered := <-s.answers:
			fetch <- isAnswered
		case <-s.closing:
			return
		}
	}
}

// isAnswered waits for the answer to a fetch that has just come.
func (s *scriptedServer) isAnswered(fetch chan bool) bool {
	select {
	case isAnswered := <-fetch:
		return isAnswered
	case <-s.closing:
		return false
	}
}

func (s *scriptedServer) accept(t *testing.T) {
	t.Helper()
	for {
		socket, err := s.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = socket.Close() })
		s.accepted <- socket
		go s.serve(socket)
	}
}

func (s *scriptedServer) serve(socket net.Conn) {
	reader := redcon.NewReader(socket)
	for {
		command, err := reader.ReadCommand()
		if err != nil {
			_ = socket.Close()
			return
		}
		if _, rest, isFound := strings.Cut(string(command.Raw), fieldDeadline); isFound {
			millis, _ := strconv.Atoi(rest[:strings.IndexAny(rest, ",\r")])
			s.deadlineMillis.Store(int64(millis))
		}
		fetch := make(chan bool, 1)
		if string(command.Args[0]) == verbFetch {
			s.fetches <- fetch
		}
		s.verbs <- string(command.Args[0])
		if string(command.Args[0]) == verbFetch && s.isAnswered(fetch) {
			_, _ = socket.Write([]byte(frame(string(command.Args[1]), statusOK, "-", "bytes")))
		}
	}
}

// testPool is a pool whose results come by a channel.
type testPool struct {
	*Pool
	t       *testing.T
	results chan engine.AttemptResult
}

func newTestPool(t *testing.T, change func(*limits.Limits)) *testPool {
	t.Helper()
	bounds := testLimits
	bounds.ConnectTimeout = 300 * time.Millisecond
	if change != nil {
		change(&bounds)
	}
	pool := &testPool{t: t, results: make(chan engine.AttemptResult, 100)}
	pool.Pool = New(Options{
		Limits: bounds,
		Names:  config.Names{Classes: []string{"clip"}},
		Post: func(_ time.Time, message engine.Message) {
			if result, isAttempt := message.(engine.AttemptResult); isAttempt {
				pool.results <- result
			}
		},
		Log: zap.NewNop(),
	})
	t.Cleanup(func() {
		pool.mu.Lock()
		for _, known := range pool.endpoints {
			known.closeConnections()
		}
		pool.mu.Unlock()
		pool.waitForConnectionCount(0)
	})
	return pool
}

// waitForConnectionCount waits until there are no more than so many connections.
func (p *testPool) waitForConnectionCount(count int) {
	p.t.Helper()
	for end := time.Now().Add(patience); p.ConnectionCount() > count; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("%d connections are left, not %d", p.ConnectionCount(), count)
		}
	}
}

func (p *testPool) listEndpoint(id routing.EndpointID, state routing.EndpointState, address string) {
	p.UpdateEndpoints(engine.EndpointList{Endpoints: []engine.Endpoint{
		{Endpoint: routing.Endpoint{ID: id, State: state}, UID: "s", Address: address},
	}})
}

func (p *testPool) sendAttempt(id engine.ClientRequestID, to routing.EndpointID) *engine.Attempt {
	attempt := newAttempt(id)
	attempt.Endpoint = to
	p.Send(attempt)
	return attempt
}

func (p *testPool) wantResult(outcome routing.Outcome, attempt *engine.Attempt) {
	p.t.Helper()
	select {
	case result := <-p.results:
		if result.Attempt != attempt || result.Outcome != outcome {
			p.t.Fatalf("attempt of %x ended with %d, not of %x with %d",
				result.Attempt.Request.ClientRequestID, result.Outcome, attempt.Request.ClientRequestID, outcome)
		}
	case <-time.After(patience):
		p.t.Fatal("no result")
	}
}

func (p *testPool) wantNoResult() {
	p.t.Helper()
	select {
	case result := <-p.results:
		p.t.Fatalf("attempt of %x ended with %d", result.Attempt.Request.ClientRequestID, result.Outcome)
	case <-time.After(20 * time.Millisecond):
	}
}

// onlyConnection is the pool's only connection, to endpoint 1.
func (p *testPool) onlyConnection() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[1].connections[0]
}

// holdDials has each dial wait until the channel is closed that is returned.
func (p *testPool) holdDials() chan struct{} {
	released := make(chan struct{})
	dial := p.dial
	p.dial = func(network, address string, timeout time.Duration) (net.Conn, error) {
		<-released
		return dial(network, address, timeout)
	}
	return released
}

// holdFirstDial has the first dial wait until it is told how it ends; later ones go to the address.
func (p *testPool) holdFirstDial() chan error {
	ends := make(chan error)
	var isHeld atomic.Bool
	p.dial = func(network, address string, timeout time.Duration) (net.Conn, error) {
		if isHeld.CompareAndSwap(false, true) {
			if err := <-ends; err != nil {
				return nil, err
			}
		}
		return net.DialTimeout(network, address, timeout)
	}
	return ends
}

// heldSocket is a connection of which each write is held up: after it took its bytes it says so on taken, and goes on
// once it is told how the write ends, or is closed.
type heldSocket struct {
	net.Conn
	takesBytes  int // of each write
	taken       chan string
	writeResult chan error
	closed      chan struct{}
	closeOnce   sync.Once
}

var errScripted = errors.New("the test says so")

// takesAll is more bytes than a test writes.
const takesAll = 1 << 20

func newHeldSocket(takesBytes int) *heldSocket {
	return &heldSocket{
		takesBytes:  takesBytes,
		taken:       make(chan string, 100),
		writeResult: make(chan error),
		closed:      make(chan struct{}),
	}
}

func (s *heldSocket) Write(b []byte) (int, error) {
	n := min(s.takesBytes, len(b))
	s.taken <- string(b[:n])
	select {
	case err := <-s.writeResult:
		return n, err
	case <-s.closed:
		return n, net.ErrClosed
	}
}

func (s *heldSocket) Read([]byte) (int, error) {
	<-s.closed
	return 0, net.ErrClosed
}

func (s *heldSocket) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return nil
}

func (s *heldSocket) SetWriteDeadline(time.Time) error { return nil }

// wantNothingTaken fails if anything was written that the test has not received.
func (s *heldSocket) wantNothingTaken(t *testing.T) {
	t.Helper()
	if len(s.taken) > 0 {
		t.Errorf("%q was written all the same", <-s.taken)
	}
}

// newPoolWithSockets returns a pool whose dials give these connections in turn; endpoint 1 is ready.
func newPoolWithSockets(t *testing.T, change func(*limits.Limits), sockets ...*heldSocket) *testPool {
	t.Helper()
	pool := newTestPool(t, func(l *limits.Limits) {
		l.SlowConnect = time.Hour // nothing goes by another connection
		if change != nil {
			change(l)
		}
	})
	var mu sync.Mutex
	pool.dial = func(string, string, time.Duration) (net.Conn, error) {
		mu.Lock()
		defer mu.Unlock()
		if len(sockets) == 0 {
			return nil, errScripted
		}
		socket := sockets[0]
		sockets = sockets[1:]
		return socket, nil
	}
	pool.listEndpoint(1, routing.Ready, "10.0.0.1:1")
	return pool
}

// oneConnection is a limit of one connection to each endpoint.
func oneConnection(l *limits.Limits) { l.ConnectionsPerEndpoint = 1 }

func containsID(text string, id engine.ClientRequestID) bool {
	return strings.Contains(text, hexadecimal(uint64(id)))
}
