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
	"fennelarch/policy/replay"
	"fennelarch/policy/routing"

	"github.com/tidwall/redcon"
	"go.uber.org/zap"
)

// Server accepts client connections and serves them. redcon accepts, keeps and closes the connections, but this package
// reads from them, because the buffer of redcon's reader grows to any length that a client announces.
type Server struct {
	shared  sharedState
	post    PostFunc
	redcon  *redcon.Server
	start   time.Time // time 0 of the admission policy's clock
	log     *zap.Logger
	tlsKeys *TLSKeys // nil if connections do not use TLS
	spare   *spareDescriptor
	monitor *invariant.Monitor

	eventQueueDelay func() time.Duration

	onDescriptorShortage func() // may be nil

	goroutines      sync.WaitGroup // writers, rejections and wake-ups
	busyCount       atomic.Int64   // connections with open requests or pending output
	openSocketCount atomic.Int64   // accepted connections that are not closed yet
	rejectingCount  atomic.Int64   // connections being rejected
	bodyBytes       atomic.Int64   // memory of request bodies
	lingeringCount  atomic.Int64   // evicted connections that linger until their output has arrived
	isDraining      atomic.Bool

	mu          sync.Mutex
	admission   *admission.Controller
	connections map[admission.ConnID]*connection
	lastConnID  admission.ConnID
	actions     []admission.Action // buffer reused for each event
}

// PostFunc sends the engine a message received at the given time, and reports whether the engine has taken it.
type PostFunc func(at time.Time, message engine.Message) (taken bool)

// Options configures a Server.
type Options struct {
	Limits  limits.Limits
	Names   config.Names
	Classes []routing.Class
	Post    PostFunc
	Log     *zap.Logger

	Admission            admission.Settings
	TLSKeys              *TLSKeys             // nil if connections do not use TLS
	EventQueueDelay      func() time.Duration // how long events wait for the engine; nil means no delay
	FlowKBPerSecond      float64              // rate by which latency objectives grow with object size; 0: they do not
	Monitor              *invariant.Monitor   // checks the invariants of requests and connections; may be nil
	OnDescriptorShortage func()               // called when no descriptor is left, so that other parts can free some
}

// New returns a server that posts the messages of clients to the engine.
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
	server.shared.replays = replay.New(options.Limits.RememberedIDs)
	server.shared.setClasses(options.Names, options.Classes, options.FlowKBPerSecond)
	server.admission = admission.New(withLimits(options.Admission, &server.shared.limits))
	server.redcon = redcon.NewServer("", func(redcon.Conn, redcon.Command) {}, nil, nil)
	return server
}

// withLimits returns the settings with the limits of the process filled in.
func withLimits(settings admission.Settings, bounds *limits.Limits) admission.Settings {
	settings.MaxConnections, settings.NoMessageIdlePenalty = bounds.ClientConnections, bounds.NoMessageIdlePenalty
	settings.MaxBodyBytes, settings.MaxHeldRequests = bounds.RequestPayloadBytes, int64(bounds.HeldRequests)
	return settings
}

// UpdateAdmissionSettings applies changed admission settings.
func (s *Server) UpdateAdmissionSettings(settings admission.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.UpdateSettings(withLimits(settings, &s.shared.limits))
}

// Serve accepts and serves connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	return s.redcon.Serve(&listener{Listener: l, server: s, spare: s.spare})
}

// Drain closes every connection once all its responses are written. Requests that arrive meanwhile are rejected.
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

// Wait waits until all writers, rejections and wake-ups have ended. It must be called only after Serve has returned and
// OpenSocketCount and ConnectionCount are zero, because a reader that is still running may start a writer.
func (s *Server) Wait() { s.goroutines.Wait() }

// OpenSocketCount returns the number of connections that are not closed yet, including those being rejected.
func (s *Server) OpenSocketCount() int {
	return int(s.openSocketCount.Load() + s.rejectingCount.Load())
}

// ConnectionCount returns the number of connections that are served.
func (s *Server) ConnectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// PayloadBytes returns the memory of the bodies of requests, and of responses that wait for their clients.
func (s *Server) PayloadBytes() int64 { return s.bodyBytes.Load() + s.shared.backlogBytes.Load() }

// AdmissionStatus returns the counts of admission decisions and the name of the overload mode.
func (s *Server) AdmissionStatus() (counts admission.Counts, mode string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.Counts, s.admission.Mode().String()
}

// ReportDescriptorShortage reports that there was no descriptor for an upstream connection. The admission policy then
// closes idle client connections.
func (s *Server) ReportDescriptorShortage() {
	s.handleAdmissionEvent(admission.Event{Kind: admission.EventUpstreamDescriptorsExhausted})
}
