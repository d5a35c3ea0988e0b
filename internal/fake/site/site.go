package site

import (
	"sync"
	"time"
)

// Site is a set of cache servers with their discovery server.
type Site struct {
	Discovery *DiscoveryServer

	sizeOf  func(Object) int
	groupOf func(uint64) int

	mu           sync.Mutex
	servers      map[string]*CacheServer
	objectPurges map[uint64]time.Time // time of each object's last purge
	groupPurges  map[int]time.Time    // time of each group's last purge
	writeRuns    map[string]int       // how often the write of each request ran
}

// New returns a site without cache servers. sizeOf returns the size of an object in bytes, groupOf the group that an
// object ID is purged with.
func New(sizeOf func(Object) int, groupOf func(uint64) int) *Site {
	return &Site{
		Discovery: NewDiscoveryServer(), sizeOf: sizeOf, groupOf: groupOf, servers: map[string]*CacheServer{},
		objectPurges: map[uint64]time.Time{}, groupPurges: map[int]time.Time{}, writeRuns: map[string]int{},
	}
}

// Add starts a cache server. The endpoint list includes the server only after its endpoint is published.
func (s *Site) Add(options CacheServerOptions) (*CacheServer, error) {
	server, err := newCacheServer(s, options)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers[server.UID] = server
	return server, nil
}

// Close stops all servers.
func (s *Site) Close() {
	s.Discovery.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		server.frames.Close()
	}
}

// PurgeObject publishes a purge of an object and returns its time. The cache servers stop serving older copies at once.
func (s *Site) PurgeObject(object uint64) time.Time {
	now := time.Now()
	s.mu.Lock()
	s.objectPurges[object] = now
	s.mu.Unlock()
	s.Discovery.Publish(PurgeObjectEvent(object, now))
	return now
}

// PurgeGroup publishes a purge of a group and returns its time. The cache servers stop serving older copies at once.
func (s *Site) PurgeGroup(group int) time.Time {
	now := time.Now()
	s.mu.Lock()
	s.groupPurges[group] = now
	s.mu.Unlock()
	s.Discovery.Publish(PurgeGroupEvent(group, now))
	return now
}

// lastPurge returns the time of the last purge of an object or of its group, zero if there was none.
func (s *Site) lastPurge(object uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	objectPurge, groupPurge := s.objectPurges[object], s.groupPurges[s.groupOf(object)]
	if groupPurge.After(objectPurge) {
		return groupPurge
	}
	return objectPurge
}

// WriteRuns returns how often the write of a request ran.
func (s *Site) WriteRuns(requestID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeRuns[requestID]
}

func (s *Site) recordWrite(requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeRuns[requestID]++
}

func (s *Site) server(uid string) *CacheServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[uid]
}

func (s *Site) originUID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for uid, server := range s.servers {
		if server.Kind == Origin {
			return uid
		}
	}
	return ""
}
