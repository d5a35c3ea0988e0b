package soak

import (
	"sync"
	"time"

	"fennelarch/internal/fake/site"
)

// What the deployment's settings say of purges and drains.
const (
	// purgeCompletesAfter is how long caches may still hold what was purged.
	purgeCompletesAfter = 4 * time.Second
	// purgeGrace and drainGrace are how long routers may still use a purged copy, or a server that leaves.
	purgeGrace = time.Second
	drainGrace = time.Second
)

// serverSet is all servers of the deployment.
type serverSet struct {
	record *Record
	origin *server

	mu           sync.Mutex
	byUID        map[string]*server
	executedAt   map[string]map[int]time.Time // of a keyed request: when it ran in each cell
	replacements int                          // servers that were started in the place of others
}

func newServerSet(record *Record) *serverSet {
	return &serverSet{record: record, byUID: map[string]*server{}, executedAt: map[string]map[int]time.Time{}}
}

func (s *serverSet) add(server *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byUID[server.uid] = server
	if server.kind == site.Origin {
		s.origin = server
	}
}

func (s *serverSet) lookUp(uid string) *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byUID[uid]
}

func (s *serverSet) replacementCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replacements
}

// presentCaches are the cache servers that have not been replaced; the caller holds the mutex.
func (s *serverSet) presentCaches() (caches []*server) {
	for i := range s.replacements + cacheServers {
		if server := s.byUID[cacheUID(i)]; server != nil && !server.isLost {
			caches = append(caches, server)
		}
	}
	return caches
}

// replace marks a server as lost, and returns the name of the one that takes its place; it fails if that was done
// before.
func (s *serverSet) replace(old *server) (uid string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old.isLost {
		return "", false
	}
	old.isLost = true
	uid = cacheUID(cacheServers + s.replacements)
	s.replacements++
	return uid, true
}

// close ends all servers and their proxies.
func (s *serverSet) close() {
	s.mu.Lock()
	var servers []*server
	for _, server := range s.byUID {
		servers = append(servers, server)
	}
	s.mu.Unlock()
	for _, server := range servers {
		server.currentProxy().stopListening()
		server.frames.Close()
	}
}

// isRepeat says whether a cell has run a keyed request before, and notes that it runs now.
func (s *serverSet) isRepeat(at *server, id string, class *Class) bool {
	if class.Idempotency != IdempotentWithKey {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	cells := s.executedAt[id]
	if cells == nil {
		cells = map[int]time.Time{}
		s.executedAt[id] = cells
	}
	executedAt, known := cells[at.cell]
	if known && time.Since(executedAt) < class.IdempotencyWindow {
		return true
	}
	cells[at.cell] = time.Now()
	return false
}

// isPurged says whether caches have dropped a copy by now, because it is from before a purge.
func (s *serverSet) isPurged(object uint64, createdAt time.Time) bool {
	isPurged := false
	s.record.update(func() {
		for _, purge := range s.record.purges {
			isOlder := purge.object == object && createdAt.Before(purge.issuedAt)
			isPurged = isPurged || isOlder && time.Since(purge.at) > purgeCompletesAfter
		}
	})
	return isPurged
}

// recordRequest counts a request at a server that started a while ago, cold.
func (s *serverSet) recordRequest(at *server, id string) {
	now := time.Now()
	s.record.update(func() {
		for i := range s.record.coldStarts {
			if start := &s.record.coldStarts[i]; start.server == at.uid {
				start.requests = append(start.requests, receivedRequest{id, now})
			}
		}
	})
}
