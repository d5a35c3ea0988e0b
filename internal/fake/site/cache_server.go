package site

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Kind is a cache server's level in the hierarchy. Its value is the model that the endpoint list gives for the server.
type Kind string

// Levels of the hierarchy.
const (
	Cache  Kind = "box"
	Parent Kind = "parent"
	Origin Kind = "origin"
)

// ServiceTime is the time that a cache server takes to answer a request.
type ServiceTime struct {
	Base   time.Duration
	Jitter time.Duration // upper bound of a uniformly distributed addition to Base
}

// CacheServerOptions configures a cache server.
type CacheServerOptions struct {
	UID         string
	Kind        Kind
	Address     string // "": any free port of the loopback address
	Weight      float64
	ServiceTime ServiceTime
	Seed        uint64
}

// ReceivedRequest is an attempt that a cache server received from a router, or a fill requested by another server.
type ReceivedRequest struct {
	At        time.Time // when it had come whole
	BeganAt   time.Time // when its first byte came; zero for a fill
	RequestID string
	Object    Object
	Class     string
	Source    string // server that the router names to fill from
	FilledFor string // server that requested the fill, "": an attempt from a router
	IsWrite   bool
}

// CacheServer is a fake cache, parent or origin.
type CacheServer struct {
	UID     string
	Kind    Kind
	Weight  float64
	Address string

	serviceTime ServiceTime
	site        *Site
	frames      *FrameServer

	mu       sync.Mutex
	copies   map[Object]Copy
	received []ReceivedRequest
	rng      *rand.Rand
}

// writeClass is the class of writes, which only the origin runs.
const writeClass = "signoff"

func newCacheServer(site *Site, options CacheServerOptions) (*CacheServer, error) {
	address := options.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	s := &CacheServer{
		UID: options.UID, Kind: options.Kind, Weight: options.Weight, serviceTime: options.ServiceTime, site: site,
		copies: map[Object]Copy{}, rng: rand.New(rand.NewPCG(options.Seed, 2)),
	}
	var err error
	if s.frames, err = ListenFrames(address, s.handle); err != nil {
		return nil, err
	}
	s.Address = s.frames.Address()
	return s, nil
}

// Endpoint returns the server's entry in the endpoint list, with the given state.
func (s *CacheServer) Endpoint(state string) Endpoint {
	return Endpoint{UID: s.UID, Address: s.Address, Zone: Zone, Kind: s.Kind, State: state, Weight: s.Weight}
}

// Received returns all requests that the server has received so far.
func (s *CacheServer) Received() []ReceivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ReceivedRequest(nil), s.received...)
}

func (s *CacheServer) record(request ReceivedRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = append(s.received, request)
}

func (s *CacheServer) handle(words []string, beganAt time.Time) []byte {
	switch {
	case IsHealthCheck(words):
		return HealthResponse(words[1])
	case IsCancel(words):
		return nil
	}
	request, err := ParseFetch(words)
	if err != nil {
		return ErrorResponse(words[1])
	}
	isWrite := request.HasBody || request.Class == writeClass
	s.record(ReceivedRequest{
		At: time.Now(), BeganAt: beganAt, RequestID: request.ID, Object: request.Object, Class: request.Class,
		Source: request.Source, IsWrite: isWrite,
	})
	s.waitServiceTime()
	if isWrite {
		return s.write(&request)
	}
	started := time.Now()
	found, source, err := s.find(&request)
	if err != nil {
		return FillErrorResponse(request.ID, StatusNotCached, ErrNotCached)
	}
	return CopyResponse(&request, found, source, time.Since(started))
}

func (s *CacheServer) write(request *FetchRequest) []byte {
	if s.Kind != Origin {
		return FillErrorResponse(request.ID, StatusNotCached, ErrNotCached)
	}
	s.site.recordWrite(request.ID)
	return Frame(request.ID, StatusOK, "sum=1,t0=1", "done")
}

func (s *CacheServer) waitServiceTime() {
	s.mu.Lock()
	duration := s.serviceTime.Base
	if s.serviceTime.Jitter > 0 {
		duration += time.Duration(s.rng.Int64N(int64(s.serviceTime.Jitter)))
	}
	s.mu.Unlock()
	time.Sleep(duration)
}

// find returns the server's copy of an object. If it has no current copy, it fills one from the source that the request
// names.
func (s *CacheServer) find(request *FetchRequest) (Copy, CopySource, error) {
	object := request.Object
	if s.Kind == Origin {
		now := time.Now()
		return Copy{Body(object, now, s.site.sizeOf(object)), now}, FromLocalCache, nil
	}
	s.mu.Lock()
	cached, isCached := s.copies[object]
	s.mu.Unlock()
	isFresh := request.MaxAge == 0 || time.Since(cached.CreatedAt) <= request.MaxAge
	if isCached && isFresh && cached.CreatedAt.After(s.site.lastPurge(object.ID)) {
		return cached, FromLocalCache, nil
	}
	source := s.site.server(request.Source)
	if source == nil || source == s {
		return Copy{}, "", ErrNotCached
	}
	filled, from, err := source.fill(s.UID, *request)
	if err != nil {
		return Copy{}, "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies[object] = filled
	return filled, from, nil
}

// fill answers another server's request for a copy. A parent without a copy fills from the origin, unless the request
// forbids that.
func (s *CacheServer) fill(requesterUID string, request FetchRequest) (Copy, CopySource, error) {
	s.record(ReceivedRequest{At: time.Now(), Object: request.Object, FilledFor: requesterUID})
	s.waitServiceTime()
	request.Source = ""
	if s.Kind == Parent && !request.OnlyIfCached {
		request.Source = s.site.originUID()
	}
	found, from, err := s.find(&request)
	if from == FromParent {
		return found, FromOrigin, err
	}
	return found, FromParent, err
}
