package frontend

import (
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fennelarch/internal/config"
	"fennelarch/internal/engine"
	"fennelarch/internal/invariant"
	"fennelarch/internal/limits"
	"fennelarch/policy/admission"
	"fennelarch/policy/routing"

	"github.com/tidwall/redcon"
	"go.uber.org/zap"
)

// Server accepts client connections and serves them. redcon accepts, keeps and closes the connections; their bytes
// are read here, within the session's bounds, because redcon's own reader grows with whatever length a client
// announces.
type Server struct {
	shared  sharedState
	post    PostFunc
	redcon  *redcon.Server
	start   time.Time // events of admission count from it
	log     *zap.Logger
	tlsKeys *TLSKeys // nil: connections are plain
	spare   *spareDescriptor
	monitor *invariant.Monitor

	eventQueueDelay func() time.Duration

	onDescriptorShortage func() // nil: nobody has descriptors to spare

	goroutines     sync.WaitGroup // writers, rejections and wake-ups
	busyCount      atomic.Int64   // connections on which something is open or to be written
	unclosedCount  atomic.Int64   // connections that were accepted and are not closed yet
	rejectingCount atomic.Int64   // connections that are being rejected
	lingeringCount atomic.Int64   // evicted connections that are being closed so that what was written arrives
	isDraining     atomic.Bool

	mu          sync.Mutex
	admission   *admission.Controller
	connections map[admission.ConnID]*connection
	lastConnID  admission.ConnID
	actions     []admission.Action // reused
}

// PostFunc sends the engine a message that came at a time, and says whether the engine has taken it.
type PostFunc func(at time.Time, message engine.Message) (taken bool)

// Options are what a server is built with.
type Options struct {
	Limits  limits.Limits
	Names   config.Names
	Classes []routing.Class
	Post    PostFunc
	Log     *zap.Logger

	Admission            admission.Settings
	TLSKeys              *TLSKeys             // nil: connections are plain
	EventQueueDelay      func() time.Duration // how long events wait for the engine; nil: not at all
	FlowKBPerSecond      float64              // transfer rate by which latency objectives grow
	Monitor              *invariant.Monitor   // checks the invariants of requests and connections; nil: nobody does
	OnDescriptorShortage func()               // called when no descriptor is left: others may have some to spare
}

// New returns a server that posts what clients want.
func New(options Options) *Server {
	server := &Server{
		post: options.Post, start: time.Now(), log: options.Log, tlsKeys: options.TLSKeys, spare: newSpareDescriptor(),
		monitor: options.Monitor, eventQueueDelay: options.EventQueueDelay,
		onDescriptorShortage: options.OnDescriptorShortage, connections: map[admission.ConnID]*connection{},
	}
	if server.eventQueueDelay == nil {
		server.eventQueueDelay = func() time.Duration { return 0 }
	}
	server.shared.limits, server.shared.monitor = options.Limits, options.Monitor
	server.shared.inFlight = map[engine.ClientRequestID]claim{}
	server.shared.setClasses(options.Names, options.Classes, options.FlowKBPerSecond)
	server.admission = admission.New(withLimits(options.Admission, &server.shared.limits))
	server.redcon = redcon.NewServer("", func(redcon.Conn, redcon.Command) {}, nil, nil)
	return server
}

// withLimits fills in what the limits of the process say.
func withLimits(settings admission.Settings, bounds *limits.Limits) admission.Settings {
	settings.MaxConnections, settings.FirstRequestGrace = bounds.ClientConnections, bounds.FirstRequestGrace
	return settings
}

// UpdateAdmission applies changed settings.
func (s *Server) UpdateAdmission(settings admission.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.UpdateSettings(withLimits(settings, &s.shared.limits))
}

// Serve accepts connections from a listener until it is closed.
func (s *Server) Serve(l net.Listener) error {
	return s.redcon.Serve(&listener{Listener: l, server: s, spare: s.spare})
}

// Drain has every connection closed as soon as nothing is owed on it; requests that still come are rejected at once.
func (s *Server) Drain() {
	s.isDraining.Store(true)
	s.mu.Lock()
	connections := slices.Collect(maps.Values(s.connections))
	s.mu.Unlock()
	for _, c := range connections {
		c.mu.Lock()
		c.wakeReader()
		c.mu.Unlock()
	}
}

// Wait returns once all writers, rejections and wake-ups have ended. It may be called after Serve has returned, once
// UnclosedCount and ConnectionCount are zero: a reader that has not ended may still start a writer.
func (s *Server) Wait() { s.goroutines.Wait() }

// UnclosedCount returns how many connections are not closed yet.
func (s *Server) UnclosedCount() int { return int(s.unclosedCount.Load() + s.rejectingCount.Load()) }

// ConnectionCount returns how many connections there are.
func (s *Server) ConnectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// AdmissionStatus returns the admission decisions so far, and the name of the overload mode.
func (s *Server) AdmissionStatus() (counts admission.Counts, mode string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.Counts, s.admission.Mode().String()
}

// ReportDescriptorShortage says that no descriptor was left for an upstream connection: idle connections are closed
// for it.
func (s *Server) ReportDescriptorShortage() {
	s.handleAdmissionEvent(admission.Event{Kind: admission.EventNoUpstreamDescriptors})
}
