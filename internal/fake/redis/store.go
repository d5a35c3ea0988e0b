// Package redis provides a fake store that speaks RESP2, for tests and experiments. It implements the commands that a
// router uses, from the public description of the protocol, and can inject faults (see Fault). It does not depend on a
// router's code.
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

	randomStream = 1 // stream of the seeded random generator

	// restartTimeout is how long a restart waits for the store's old address to become free.
	restartTimeout       = 2 * time.Second
	restartRetryInterval = 5 * time.Millisecond
)

// Config configures a store.
type Config struct {
	Address           string        // "": any free port of the loopback address
	MaxValueBytes     int           // size beyond which the least recently used values are evicted, 0: no limit
	CommandsPerSecond float64       // capacity when warm, 0: the load is not measured
	ColdCapacityShare float64       // share of the capacity available right after a start
	WarmUpTime        time.Duration // from a start to full capacity
	InitialAge        time.Duration // age of the store at its first start
	User              string        // user of AUTH, "": the default user
	Password          string        // "": no authentication
	MaxClients        int           // maximum number of connections, 0: no limit
	Seed              uint64
}

// Store is a fake store. It can crash and restart.
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

// Address returns the address that the store listens on.
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
	s.server = redcon.NewServer("", s.handle, s.accept, s.removeConnection)
	go func(server *redcon.Server) { _ = server.Serve(listener) }(s.server)
	return nil
}

// session is the state of one connection.
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

func (s *Store) removeConnection(connection redcon.Conn, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, connection.NetConn())
}

// Crash simulates the end of the store's process: connections are reset, nothing listens, and unsaved data is lost.
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

// Close stops the store for good.
func (s *Store) Close() { s.Crash() }

// Restart starts the store at its old address without data.
func (s *Store) Restart() error {
	s.mu.Lock()
	s.clear()
	s.mu.Unlock()
	return s.listenAgain()
}

// RestartFromSnapshot starts the store at its old address with the data that was saved last.
func (s *Store) RestartFromSnapshot() error {
	s.mu.Lock()
	s.clear()
	if s.snapshot != nil {
		s.restore(s.snapshot)
	}
	s.mu.Unlock()
	return s.listenAgain()
}

// listenAgain listens as soon as the address is free.
func (s *Store) listenAgain() error {
	for end := time.Now().Add(restartTimeout); ; time.Sleep(restartRetryInterval) {
		if err := s.listen(); err == nil || time.Now().After(end) {
			return err
		}
	}
}

// Save takes a snapshot of all data.
func (s *Store) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = &snapshot{values: s.values.all(), sets: cloneSets(s.sets)}
}

// restore loads the data of a snapshot. The caller holds the lock.
func (s *Store) restore(saved *snapshot) {
	for i := range saved.values {
		s.put(saved.values[i].key, saved.values[i].data, saved.values[i].expiresAt)
	}
	s.sets = cloneSets(saved.sets)
}

// Flush drops all data while the store keeps running.
func (s *Store) Flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clear()
}

// DropSets drops all sorted sets but no plain values, as a store short of memory may.
func (s *Store) DropSets() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sets = map[string]sortedSet{}
}

// put stores a value and counts the values evicted for it. The caller holds the lock.
func (s *Store) put(key string, data []byte, expiresAt time.Time) {
	s.counter.evicted += s.values.put(key, data, expiresAt)
}
