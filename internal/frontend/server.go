package frontend

// This file owns the listener and the goroutines of each client connection. redcon accepts, keeps and ends the
// connections; their bytes are read here, under the session's bounds, because redcon's own reader grows with whatever
// length a client announces. It must never look into a frame.

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

// Server takes clients.
type Server struct {
	shared   shared
	post     func(at time.Time, message engine.Message) (taken bool)
	redcon   *redcon.Server
	start    time.Time
	log      *zap.Logger
	keys     *TLSKeys // none: connections are plain
	spare    *spare
	guard    *invariant.Monitor
	refusing time.Time // since when there were no descriptors for those that wait to be accepted; the accepting goroutine's own
	lag      func() time.Duration

	OnDescriptorShortage func()       // if set, is called when no descriptor is left: others may have some to spare
	turned               atomic.Int64 // connections that are being turned back

	busy atomic.Int64 // connections on which something is open or to be written
	live atomic.Int64 // connections that were taken and are not closed yet

	parting atomic.Int64 // connections without a place that are being ended so that what was written arrives

	ending atomic.Bool // whoever rests is to go, and nothing new is taken

	mu    sync.Mutex
	doors *admission.Controller
	conns map[admission.ConnID]*conn
	last  admission.ConnID
	acts  []admission.Action
}

// Options is how connections are admitted.
type Options struct {
	Admission       admission.Settings
	Keys            *TLSKeys             // for TLS, or none
	EventQueueDelay func() time.Duration // how long events wait for the engine
	FlowKBPerSecond float64              // KB a second of one transfer, by which due times grow
	Monitor         *invariant.Monitor   // keeps the invariants of requests and connections, or nobody does
}

// New returns a server; what clients want goes to post.
func New(l limits.Limits, n config.Names, tariffs []routing.Class, d Options, post func(at time.Time, message engine.Message) (taken bool), log *zap.Logger) *Server {
	s := &Server{post: post, conns: map[admission.ConnID]*conn{}, start: time.Now(), log: log, keys: d.Keys, spare: newSpare(), lag: d.EventQueueDelay}
	if s.lag == nil {
		s.lag = func() time.Duration { return 0 }
	}
	s.doors = admission.New(bounded(d.Admission, &l))
	s.shared.limits, s.shared.tariffs, s.shared.open = l, map[string]routing.ClassID{}, map[engine.ClientRequestID]claim{}
	s.shared.tenants, s.shared.guard, s.guard = n.Tenants, d.Monitor, d.Monitor
	for i, name := range n.Classes {
		s.shared.tariffs[name] = routing.ClassID(i)
		s.shared.writes = append(s.shared.writes, tariffs[i].Write)
		s.shared.repeats = append(s.shared.repeats, invariant.RepeatPolicy{Idempotency: tariffs[i].Idempotency, DedupScope: tariffs[i].DedupScope, DedupWindow: tariffs[i].DedupWindow})
		growth := 0.0
		if d.FlowKBPerSecond > 0 {
			growth = tariffs[i].ObjectiveStretch / d.FlowKBPerSecond
		}
		s.shared.due, s.shared.growth = append(s.shared.due, tariffs[i].LatencyObjective), append(s.shared.growth, growth)
	}
	s.redcon = redcon.NewServer("", func(redcon.Conn, redcon.Command) {}, nil, nil)
	return s
}

// bounded fills in what the process's limits say.
func bounded(set admission.Settings, l *limits.Limits) admission.Settings {
	set.MaxConnections, set.FirstRequestGrace = l.ClientConnections, l.FirstRequestGrace
	return set
}

// UpdateAdmission takes settings that changed.
func (s *Server) UpdateAdmission(set admission.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doors.UpdateSettings(bounded(set, &s.shared.limits))
}

// Serve takes connections from a listener until it is closed.
func (s *Server) Serve(l net.Listener) error { return s.redcon.Serve(listener{l, s}) }

// Drain has every connection go as soon as nothing is owed on it; what is still asked is refused at once.
func (s *Server) Drain() {
	s.ending.Store(true)
	s.mu.Lock()
	conns := slices.Collect(maps.Values(s.conns))
	s.mu.Unlock()
	for _, c := range conns {
		c.mu.Lock()
		c.wake()
		c.mu.Unlock()
	}
}

// UnclosedCount is how many connections are not closed yet.
func (s *Server) UnclosedCount() int { return int(s.live.Load() + s.turned.Load()) }

// ConnectionCount is how many connections there are.
func (s *Server) ConnectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// AdmissionStatus is what was decided about connections so far, and the mode it is in.
func (s *Server) AdmissionStatus() (admission.Counts, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.doors.Counts, s.doors.Mode().String()
}

// listener hands redcon connections whose bytes are read here.
type listener struct {
	net.Listener
	server *Server
}
