package soak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"fennelarch/internal/fake/site"
)

// serverState is the fault in force at a server, if any.
type serverState uint8

const (
	serverHealthy serverState = iota
	serverHanging
	serverFailing
	serverOverloaded
)

// server is a fake cache server, parent or origin. It holds copies, executes requests, and fails as its state says.
type server struct {
	set    *serverSet
	uid    string
	kind   site.Kind
	cell   int
	weight float64
	frames *site.FrameServer

	proxy    *proxy // the routers connect to this proxy; guarded by set.mu
	replaced bool   // guarded by set.mu

	mu         sync.Mutex
	state      serverState
	copies     map[uint64]site.Copy
	rng        *rand.Rand
	drainCount int // number of drain-server faults in force
}

// endpoint returns the server's entry in the endpoint list. A ready server is listed as draining while a drain-server
// fault is in force.
func (s *server) endpoint(state string) site.Endpoint {
	address := s.currentProxy().address()
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == site.StateReady && s.drainCount > 0 {
		state = site.StateDraining
	}
	return site.Endpoint{
		UID: s.uid, Address: address, Zone: site.Zone, Kind: s.kind, State: state, Weight: s.weight, Cell: &s.cell,
	}
}

func (s *server) currentProxy() *proxy {
	s.set.mu.Lock()
	defer s.set.mu.Unlock()
	return s.proxy
}

// swapProxy puts another proxy in front of the server, and returns the old proxy.
func (s *server) swapProxy(replacement *proxy) (old *proxy) {
	s.set.mu.Lock()
	defer s.set.mu.Unlock()
	old, s.proxy = s.proxy, replacement
	return old
}

func (s *server) isReplaced() bool {
	s.set.mu.Lock()
	defer s.set.mu.Unlock()
	return s.replaced
}

func (s *server) setState(state serverState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

func (s *server) currentState() serverState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

func (s *server) addDrain(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainCount += n
}

func (s *server) dropCopies() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = map[uint64]site.Copy{}
}

// handle returns the response to one request of a router, or nil for no response.
func (s *server) handle(words []string) []byte {
	s.mu.Lock()
	state, draw := s.state, s.rng.Float64()
	s.mu.Unlock()
	switch {
	case state == serverHanging || site.IsCancel(words):
		return nil
	case site.IsHealthCheck(words):
		return site.HealthResponse(words[1])
	}
	request, err := site.ParseFetch(words)
	if err != nil {
		return site.ErrorResponse(words[1])
	}
	class := classByName(request.Class)
	if class == nil {
		return site.ErrorResponse(request.ID)
	}
	deadline := time.Now().Add(request.Timeout)
	switch {
	case state == serverOverloaded:
		return site.FillErrorResponse(request.ID, site.StatusOverloaded, site.ErrOverloaded)
	case state == serverFailing && draw < 0.5:
		return site.FillErrorResponse(request.ID, site.StatusNotCached, site.ErrNotCached)
	case class.hasEffect():
		return s.execute(request.ID, class, state, deadline)
	}
	return s.fetch(&request, class, state, deadline)
}

// execute records an execution of a request, unless the request is a repeat that this server's cell drops.
func (s *server) execute(id string, class *Class, state serverState, deadline time.Time) []byte {
	if class.IsWrite && s.kind != site.Origin {
		return site.FillErrorResponse(id, site.StatusNotCached, site.ErrNotCached)
	}
	if !s.set.isRepeat(s, id, class) {
		s.set.record.update(func() { s.set.record.executions[id]++ })
	}
	s.sleep(deadline)
	if state == serverFailing {
		return site.ErrorResponse(id)
	}
	fields := "sum=0000000000000001,t0=" + strconv.FormatInt(time.Now().UnixMilli(), 10) + ",how=local"
	return site.Frame(id, site.StatusOK, fields, executedBody(id))
}

// executedBody returns the body of the response to an executed request.
func executedBody(id string) string { return "done " + id }

func (s *server) sleep(deadline time.Time) {
	s.mu.Lock()
	duration := time.Duration(2+s.rng.IntN(8)) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(min(duration, max(0, time.Until(deadline))))
}

// fetch returns the response with a copy that is fresh enough, filling the copy if necessary.
func (s *server) fetch(request *site.FetchRequest, class *Class, state serverState, deadline time.Time) []byte {
	if request.MaxAge <= 0 {
		request.MaxAge = class.MaxAge
	}
	s.sleep(deadline)
	started := time.Now()
	found, source, err := s.find(request)
	if err != nil {
		return site.Frame(request.ID, site.StatusNotCached, fmt.Sprintf("how=%v", err), "")
	}
	waited := time.Since(started)
	transfer := time.Duration(sizeKB(request.Object.ID) / transferKBPerSecond * float64(time.Second))
	time.Sleep(min(transfer, max(0, time.Until(deadline))))
	if time.Now().After(deadline) || state == serverFailing {
		return site.ErrorResponse(request.ID)
	}
	return site.CopyResponse(request, found, source, waited)
}

// find returns the copy that the server holds, or fills it from the source that the request names.
func (s *server) find(request *site.FetchRequest) (site.Copy, site.CopySource, error) {
	object := request.Object.ID
	if s.kind == site.Origin {
		return newCopy(object), site.FromLocalCache, nil
	}
	s.mu.Lock()
	cached, has := s.copies[object]
	s.mu.Unlock()
	isFresh := request.MaxAge == 0 || time.Since(cached.CreatedAt) <= request.MaxAge
	if has && isFresh && !s.set.isPurged(object, cached.CreatedAt) {
		return cached, site.FromLocalCache, nil
	}
	source := s.set.lookUp(request.Source)
	if source == nil || source == s {
		return site.Copy{}, "", site.ErrNotCached
	}
	return s.fill(source, *request)
}

// fill fetches a copy from another server. A copy that the parent had to fetch from the origin first is not kept.
func (s *server) fill(source *server, request site.FetchRequest) (site.Copy, site.CopySource, error) {
	s.set.recordRequest(source, request.ID) // a fill counts as a request at its source
	if source.currentState() != serverHealthy {
		return site.Copy{}, "", site.ErrOverloaded
	}
	request.Source = ""
	if source.kind == site.Parent && !request.OnlyIfCached {
		request.Source = s.set.origin.uid
	}
	filled, from, err := source.find(&request)
	if err != nil || from == site.FromOrigin {
		return filled, from, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies[request.Object.ID] = filled
	if from == site.FromParent || source.kind == site.Origin {
		return filled, site.FromOrigin, nil
	}
	return filled, site.FromParent, nil
}

// newCopy returns a copy that the origin creates now.
func newCopy(object uint64) site.Copy {
	createdAt := time.Now().Truncate(time.Millisecond)
	body := site.Body(site.Object{ID: object}, createdAt, int(sizeKB(object)*bytesPerKB))
	return site.Copy{Body: body, CreatedAt: createdAt}
}
