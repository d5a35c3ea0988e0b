package sharedstore

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"fennelarch/internal/system"
	"fennelarch/policy/routing"

	policy "fennelarch/policy/sharedstore"
)

// storeClient keeps one connection to a store. It dials the store's addresses in turn, and reads and writes.
type storeClient struct {
	transport *Transport
	id        routing.EndpointID
	config    Store
	keys      keys
	wake      chan struct{}  // wakes the writer when a command is queued
	readers   sync.WaitGroup // the reader of an ended connection may still be delivering results

	mu         sync.Mutex
	connection *connection // nil if there is no connection
	socket     net.Conn    // nil if there is no connection
	addresses  []string    // dialled in turn

	// Guarded by the lock of the transport.
	isSyncingLog        bool                  // the invalidation log is being read or written
	isDisconnected      bool                  // the connection ended, or the last attempt to connect failed
	logEntries          []policy.Invalidation // read from the pages of the log so far
	lastProblemLoggedAt time.Time             // when an error or unusable value was last logged
}

func newStoreClient(transport *Transport, id routing.EndpointID, config Store) *storeClient {
	return &storeClient{
		transport: transport, id: id, config: config, keys: keys{config.Prefix}, wake: make(chan struct{}, 1),
		addresses: config.Addresses,
	}
}

// send queues a command on the connection, and reports whether there is a connection.
func (s *storeClient) send(command command) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connection == nil {
		return false
	}
	s.connection.send(command)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// setAddress sets the address from the endpoint list, unless the operator has configured addresses. A change of the
// address ends the connection.
func (s *storeClient) setAddress(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.config.Addresses) > 0 || address == "" || slices.Equal(s.addresses, []string{address}) {
		return
	}
	s.addresses = []string{address}
	if s.socket != nil {
		_ = s.socket.Close()
	}
}

// run keeps one connection open until the context is done. It returns once its readers have ended.
func (s *storeClient) run(ctx context.Context) {
	defer s.readers.Wait()
	bounds := &s.transport.limits
	backoff := bounds.BackoffMin
	for attempt := 0; ctx.Err() == nil; attempt++ {
		s.mu.Lock()
		addresses := s.addresses
		s.mu.Unlock()
		startedAt := time.Now()
		if len(addresses) > 0 {
			if err := s.connect(ctx, addresses[attempt%len(addresses)]); err != nil {
				s.transport.handleDisconnected(s, err)
			}
		}
		if time.Since(startedAt) > bounds.BackoffMax {
			backoff = bounds.BackoffMin
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, bounds.BackoffMax)
	}
}

func (s *storeClient) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.transport.limits.ConnectTimeout)
	defer cancel()
	socket, err := system.DialContext(ctx, "tcp", address)
	if err != nil || s.config.TLS == nil {
		return socket, err
	}
	secure := tls.Client(socket, s.config.TLS)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = socket.Close()
		return nil, err
	}
	return secure, nil
}

// isCurrent reports whether a connection is the open one.
func (s *storeClient) isCurrent(connection *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connection == connection
}

func (s *storeClient) setConnection(connection *connection, socket net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connection, s.socket = connection, socket
}

// connect dials an address and serves the connection until it ends. It does not wait for the reader, which may be
// blocked in Deliver, so that the loss of the connection is reported without delay.
func (s *storeClient) connect(ctx context.Context, address string) error {
	socket, err := s.dial(ctx, address)
	if err != nil {
		return err
	}
	current := newConnection(&s.transport.limits, s.config.Credentials, time.Now())
	s.setConnection(current, socket)
	readError := make(chan error, 1)
	s.readers.Go(func() { readError <- s.read(socket, current) })
	err = s.write(ctx, socket, current, readError)
	_ = socket.Close()

	s.mu.Lock()
	s.connection, s.socket = nil, nil
	current.close(time.Now())
	results := current.takeResults()
	s.mu.Unlock()
	s.transport.handleResults(s, current, results)
	return err
}

// write sends queued commands until the connection ends or the context is done. It synchronizes the invalidation log at
// random intervals, so that routers do not do so in step, and returns an error if the store has fallen silent.
func (s *storeClient) write(ctx context.Context, socket net.Conn, current *connection, readError <-chan error) error {
	bounds := &s.transport.limits
	silenceCheck := time.NewTicker(bounds.PollTimeout / 8)
	defer silenceCheck.Stop()
	logSync := time.NewTimer(rand.N(policy.LogSyncInterval))
	defer logSync.Stop()
	for {
		wrote, err := s.writePending(socket, current)
		if err != nil {
			return err
		}
		if wrote {
			continue
		}
		select {
		case <-s.wake:
		case <-silenceCheck.C:
		case <-logSync.C:
			logSync.Reset(policy.LogSyncInterval*3/4 + rand.N(policy.LogSyncInterval/2))
			s.transport.mu.Lock()
			s.syncLog()
			s.transport.mu.Unlock()
		case err := <-readError:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// writePending makes one write, and reports whether there was anything to write.
func (s *storeClient) writePending(socket net.Conn, current *connection) (bool, error) {
	bounds := &s.transport.limits
	now := time.Now()
	s.mu.Lock()
	output := current.pendingOutput(now)
	isSilent := current.isSilent(now, bounds.StoreSilenceTimeout)
	s.mu.Unlock()
	if isSilent {
		return false, errStoreSilent
	}
	if len(output) == 0 {
		return false, nil
	}
	_ = socket.SetWriteDeadline(now.Add(bounds.WriteStallTimeout))
	count, err := socket.Write(output)
	s.mu.Lock()
	current.output.Advance(count)
	s.mu.Unlock()
	return true, err
}

// read reads and handles replies until the connection ends.
func (s *storeClient) read(socket net.Conn, current *connection) error {
	for {
		s.mu.Lock()
		buffer := current.readBuffer()
		s.mu.Unlock()
		count, readErr := socket.Read(buffer)
		s.mu.Lock()
		err := current.handleRead(count, time.Now())
		results := current.takeResults()
		s.mu.Unlock()
		s.transport.handleResults(s, current, results)
		if err != nil {
			return err
		}
		if readErr != nil {
			return readErr
		}
	}
}
