// Package redis is a stand-in for a store that speaks RESP2, for tests and experiments. It is written from the public
// description of the protocol and of the commands that a router uses, and can be given faults (see Fault). It knows
// nothing of a router.
package redis

import (
	"container/list"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/tidwall/redcon"
)

const (
	anyLoopbackPort = "127.0.0.1:0"

	randomStream = 1 // of the generator that the seed begins

	// restartTimeout is how long a store that is started again waits for its address to be free.
	restartTimeout       = 2 * time.Second
	restartRetryInterval = 5 * time.Millisecond
)

// Config is what a store is at its start.
type Config struct {
	Address           string        // "" for any port of loopback
	MaxValueBytes     int           // bytes of values before the least recently used are evicted, 0: no bound
	CommandsPerSecond float64       // commands a second when warm, 0: not measured against
	ColdCapacityShare float64       // of the capacity, just after a start
	WarmUpTime        time.Duration // until it has all of it
	InitialAge        time.Duration // for which it has run at its first start
	User              string        // needed, with the password, where that is set
	Password          string        // the password
	MaxClients        int           // connections at most, 0: no bound
	Seed              uint64
}

// Store is one store; it lives through restarts.
type Store struct {
	config Config

	mu          sync.Mutex
	server      *redcon.Server
	connections map[net.Conn]bool
	runID       string
	startedAt   time.Time
	values      keyspace
	sets        map[string]sortedSet
	fault       Fault
	random      *rand.Rand
	counter     counter
	snapshot    *snapshot
}

// snapshot is the data of a store at one moment.
type snapshot struct {
	values []value
	sets   map[string]sortedSet
}

// Start starts a store.
func Start(config Config) (*Store, error) {
	s := &Store{
		config:      config,
		random:      rand.New(rand.NewPCG(config.Seed, randomStream)),
		connections: map[net.Conn]bool{},
	}
	s.clear()
	return s, s.listen()
}

// clear drops all data. The caller holds the lock.
func (s *Store) clear() {
	s.values = keyspace{byKey: map[string]*value{}, recency: list.New(), maxBytes: s.config.MaxValueBytes}
	s.sets = map[string]sortedSet{}
}

// Address is where it listens.
func (s *Store) Address() string { return s.config.Address }

func (s *Store) listen() error {
	address := s.config.Address
	if address == "" {
		address = anyLoopbackPort
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.Address = listener.Addr().String()
	s.runID = fmt.Sprintf("%016x%016x%08x", s.random.Uint64(), s.random.Uint64(), s.random.Uint32())
	s.startedAt = time.Now().Add(-s.config.InitialAge)
	s.config.InitialAge = 0
	s.counter.start(s.startedAt)
	s.server = redcon.NewServer("", s.handle, s.accept, s.forget)
	go func(server *redcon.Server) { _ = server.Serve(listener) }(s.server)
	return nil
}

// session is what belongs to one connection.
type session struct{ isAuthenticated bool }

func (s *Store) accept(connection redcon.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.TooManyClients || s.config.MaxClients > 0 && len(s.connections) >= s.config.MaxClients {
		connection.WriteError("ERR max number of clients reached")
		return false
	}
	s.connections[connection.NetConn()] = true
	connection.SetContext(&session{isAuthenticated: s.config.Password == ""})
	return true
}

func (s *Store) forget(connection redcon.Conn, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, connection.NetConn())
}

// Crash ends the process: connections are reset, nothing listens, and what was not saved is lost.
func (s *Store) Crash() {
	s.mu.Lock()
	server, connections := s.server, maps.Clone(s.connections)
	s.mu.Unlock()
	for connection := range connections {
		reset(connection)
	}
	_ = server.Close()
}

// reset closes a connection with a reset.
func reset(connection net.Conn) {
	if socket, isTCP := connection.(*net.TCPConn); isTCP {
		_ = socket.SetLinger(0)
	}
	_ = connection.Close()
}

// Close ends it for good.
func (s *Store) Close() { s.Crash() }

// Restart starts it at its old address without data.
func (s *Store) Restart() error {
	s.mu.Lock()
	s.clear()
	s.mu.Unlock()
	return s.listenAgain()
}

// RestartFromSnapshot starts it at its old address with the data that was saved last.
func (s *Store) RestartFromSnapshot() error {
	s.mu.Lock()
	s.clear()
	if s.snapshot != nil {
		s.restore(s.snapshot)
	}
	s.mu.Unlock()
	return s.listenAgain()
}

// listenAgain listens once the address is free.
func (s *Store) listenAgain() error {
	for end := time.Now().Add(restartTimeout); ; time.Sleep(restartRetryInterval) {
		if err := s.listen(); err == nil || time.Now().After(end) {
			return err
		}
	}
}

// Save takes a snapshot.
func (s *Store) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = &snapshot{values: s.values.all(), sets: cloneSets(s.sets)}
}

// restore puts the data of a snapshot in. The caller holds the lock.
func (s *Store) restore(saved *snapshot) {
	for i := range saved.values {
		s.put(saved.values[i].key, saved.values[i].data, saved.values[i].expiresAt)
	}
	s.sets = cloneSets(saved.sets)
}

// Flush drops all data; the process goes on.
func (s *Store) Flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clear()
}

// DropSets drops what is not a plain value, as a store short of memory may.
func (s *Store) DropSets() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sets = map[string]sortedSet{}
}

// put stores a value, and counts what is evicted for it. The caller holds the lock.
func (s *Store) put(key string, data []byte, expiresAt time.Time) {
	s.counter.evicted += s.values.put(key, data, expiresAt)
}
