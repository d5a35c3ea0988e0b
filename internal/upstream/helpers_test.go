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

// testTimeout is how long a test waits for an event that must occur.
const testTimeout = 10 * time.Second

var testLimits = limits.Derive(limits.Inputs{
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
	case <-time.After(testTimeout):
		t.Fatal("nothing received from the channel within testTimeout")
	}
	return value
}

// scriptedServer answers each fetch as the test tells it to, and reports its connections and the verbs it receives.
type scriptedServer struct {
	net.Listener
	accepted       chan net.Conn
	verbs          chan string
	answers        chan bool      // for each fetch, in order of arrival: whether to answer it
	fetches        chan chan bool // the fetches that wait for a value of answers
	closing        chan struct{}  // closed at the end of the test
	deadlineMillis atomic.Int64   // deadline in the last request
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

// dispatchAnswers passes each value of answers to the fetch that arrived first, on whichever connection.
func (s *scriptedServer) dispatchAnswers() {
	for {
		var fetch chan bool
		select {
		case fetch = <-s.fetches:
		case <-s.closing:
			return
		}
		select {
		case shouldAnswer := <-s.answers:
			fetch <- shouldAnswer
		case <-s.closing:
			return
		}
	}
}

// shouldAnswer waits until the test decides whether a fetch is answered, and returns the decision.
func (s *scriptedServer) shouldAnswer(fetch chan bool) bool {
	select {
	case shouldAnswer := <-fetch:
		return shouldAnswer
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
		if string(command.Args[0]) == verbFetch && s.shouldAnswer(fetch) {
			_, _ = socket.Write([]byte(frame(string(command.Args[1]), statusOK, "-", "bytes")))
		}
	}
}

// testPool is a pool that sends its results to a channel.
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

// waitForConnectionCount waits until there are at most count connections.
func (p *testPool) waitForConnectionCount(count int) {
	p.t.Helper()
	for end := time.Now().Add(testTimeout); p.ConnectionCount() > count; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("%d connections left, want %d", p.ConnectionCount(), count)
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
			p.t.Fatalf("attempt of request %x ended with outcome %d, want attempt of request %x with outcome %d",
				result.Attempt.Request.ClientRequestID, result.Outcome, attempt.Request.ClientRequestID, outcome)
		}
	case <-time.After(testTimeout):
		p.t.Fatal("no result within testTimeout")
	}
}

func (p *testPool) wantNoResult() {
	p.t.Helper()
	select {
	case result := <-p.results:
		p.t.Fatalf("attempt of request %x ended with outcome %d, want no result",
			result.Attempt.Request.ClientRequestID, result.Outcome)
	case <-time.After(20 * time.Millisecond):
	}
}

// onlyConnection returns the pool's only connection, which is to endpoint 1.
func (p *testPool) onlyConnection() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[1].connections[0]
}

// blockDials makes each dial wait until the test closes the returned channel.
func (p *testPool) blockDials() chan struct{} {
	release := make(chan struct{})
	dial := p.dial
	p.dial = func(network, address string, timeout time.Duration) (net.Conn, error) {
		<-release
		return dial(network, address, timeout)
	}
	return release
}

// slowConnect is a time after which a blocked dial is overdue. It is long enough that the dial of an earlier connection
// never is: that one would get a replacement, on which the attempts of the test would go.
const slowConnect = 100 * time.Millisecond

// blockFirstDial makes the first dial wait until the test sends its result on the returned channel. Later dials are not
// delayed.
func (p *testPool) blockFirstDial() chan error {
	dialResult := make(chan error)
	var isBlocked atomic.Bool
	p.dial = func(network, address string, timeout time.Duration) (net.Conn, error) {
		if isBlocked.CompareAndSwap(false, true) {
			if err := <-dialResult; err != nil {
				return nil, err
			}
		}
		return net.DialTimeout(network, address, timeout)
	}
	return dialResult
}

// blockingSocket is a net.Conn whose writes block. Each write accepts at most acceptBytes bytes, sends them on written,
// and returns once the test sends the error for it on writeResult or the connection is closed.
type blockingSocket struct {
	net.Conn
	acceptBytes int // per write
	written     chan string
	writeResult chan error
	closed      chan struct{}
	closeOnce   sync.Once
}

var errScripted = errors.New("scripted error")

// acceptAll is more bytes than any test writes.
const acceptAll = 1 << 20

func newBlockingSocket(acceptBytes int) *blockingSocket {
	return &blockingSocket{
		acceptBytes: acceptBytes,
		written:     make(chan string, 100),
		writeResult: make(chan error),
		closed:      make(chan struct{}),
	}
}

func (s *blockingSocket) Write(b []byte) (int, error) {
	n := min(s.acceptBytes, len(b))
	s.written <- string(b[:n])
	select {
	case err := <-s.writeResult:
		return n, err
	case <-s.closed:
		return n, net.ErrClosed
	}
}

func (s *blockingSocket) Read([]byte) (int, error) {
	<-s.closed
	return 0, net.ErrClosed
}

func (s *blockingSocket) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return nil
}

func (s *blockingSocket) SetWriteDeadline(time.Time) error { return nil }

// wantNothingWritten fails the test if bytes were written that the test has not received from written.
func (s *blockingSocket) wantNothingWritten(t *testing.T) {
	t.Helper()
	if len(s.written) > 0 {
		t.Errorf("unexpected write: %q", <-s.written)
	}
}

// newPoolWithSockets returns a pool whose dials return the given sockets in turn. Endpoint 1 is ready.
func newPoolWithSockets(t *testing.T, change func(*limits.Limits), sockets ...*blockingSocket) *testPool {
	t.Helper()
	pool := newTestPool(t, func(l *limits.Limits) {
		l.SlowConnect = time.Hour // no attempt moves to another connection
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

// oneConnection limits the pool to one connection per endpoint.
func oneConnection(l *limits.Limits) { l.ConnectionsPerEndpoint = 1 }

func containsID(text string, id engine.ClientRequestID) bool {
	return strings.Contains(text, formatID(uint64(id)))
}
