package soak

import (
	"sync"
	"time"

	"fennelarch/internal/fake/site"
)

// The deployment's settings for purges and drains.
const (
	// purgeCompletesAfter is how long caches may still hold a purged copy.
	purgeCompletesAfter = 4 * time.Second
	// purgeGrace is how long routers may still use a purged copy, drainGrace how long they may still use a server that
	// is draining or gone.
	purgeGrace = time.Second
	drainGrace = time.Second
)

// serverSet holds all servers of the deployment.
type serverSet struct {
	record *Record
	origin *server

	mu           sync.Mutex
	byUID        map[string]*server
	executedAt   map[string]map[int]time.Time // by keyed request and cell: when the request was executed
	replacements int                          // number of servers that replaced others
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

// currentCaches returns the cache servers that have not been replaced. The caller must hold s.mu.
func (s *serverSet) currentCaches() (caches []*server) {
	for i := range s.replacements + cacheServers {
		if server := s.byUID[cacheUID(i)]; server != nil && !server.replaced {
			caches = append(caches, server)
		}
	}
	return caches
}

// replace marks a server as replaced, and returns the UID for its replacement. It returns false if the server has been
// replaced already.
func (s *serverSet) replace(old *server) (uid string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old.replaced {
		return "", false
	}
	old.replaced = true
	uid = cacheUID(cacheServers + s.replacements)
	s.replacements++
	return uid, true
}

// close stops all servers and their proxies.
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

// isRepeat reports whether a server's cell has executed a keyed request within the idempotency window. If not, isRepeat
// records that the cell executes the request now.
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

// isPurged reports whether caches have dropped a copy by now because the copy is older than a purge.
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

// recordRequest records a request at a server in every cold start of that server.
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
