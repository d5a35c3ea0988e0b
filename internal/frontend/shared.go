package frontend

import (
	"sync"
	"sync/atomic"
	"time"

	"fennelarch/internal/config"
	"fennelarch/internal/engine"
	"fennelarch/internal/invariant"
	"fennelarch/internal/limits"
	"fennelarch/policy/admission"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// sharedState is what all sessions of a server have in common.
type sharedState struct {
	limits        limits.Limits
	classes       map[string]routing.ClassID
	classSettings []classSettings
	tenants       []string
	monitor       *invariant.Monitor

	lastRequestID      atomic.Uint64
	backlogBytes       atomic.Int64 // of response bodies that are not in an output ring yet
	invalidTransitions atomic.Uint64

	mu       sync.Mutex
	inFlight map[engine.ClientRequestID]claim // requests of all connections
}

// classSettings is what a session needs to know of a request class.
type classSettings struct {
	isWrite          bool
	latencyObjective time.Duration
	secondsPerKB     float64 // by which the objective grows
	repeat           invariant.RepeatPolicy
}

// newClassSettings takes over a class. With a transfer rate, its objective grows with the size of what is asked for.
func newClassSettings(class *routing.Class, flowKBPerSecond float64) classSettings {
	settings := classSettings{
		isWrite:          class.Write,
		latencyObjective: class.LatencyObjective,
		repeat: invariant.RepeatPolicy{
			Idempotency: class.Idempotency, DedupScope: class.DedupScope, DedupWindow: class.DedupWindow,
		},
	}
	if flowKBPerSecond > 0 {
		settings.secondsPerKB = class.ObjectiveStretch / flowKBPerSecond
	}
	return settings
}

// objectiveFor is the latency objective of a request for that much.
func (c *classSettings) objectiveFor(sizeKB float64) time.Duration {
	return c.latencyObjective + time.Duration(sizeKB*c.secondsPerKB*float64(time.Second))
}

// setClasses takes over the configured classes under their names.
func (s *sharedState) setClasses(names config.Names, classes []routing.Class, flowKBPerSecond float64) {
	s.tenants = names.Tenants
	s.classes = map[string]routing.ClassID{}
	for i, name := range names.Classes {
		s.classes[name] = routing.ClassID(i)
		s.classSettings = append(s.classSettings, newClassSettings(&classes[i], flowKBPerSecond))
	}
}

// claim says what a client's request id stands for while requests with it are in flight, and how many there are.
type claim struct {
	object routing.ObjectID
	part   int
	count  int
}

// claim takes a request's id into use; one that stands for another object at the moment can't be.
func (s *sharedState) claim(request *engine.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.inFlight[request.ClientRequestID]
	if current.count > 0 && (current.object != request.Object || current.part != request.Part) {
		return false
	}
	s.inFlight[request.ClientRequestID] = claim{request.Object, request.Part, current.count + 1}
	return true
}

// release gives up one use of a request id.
func (s *sharedState) release(id engine.ClientRequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.inFlight[id]
	current.count--
	if current.count > 0 {
		s.inFlight[id] = current
	} else {
		delete(s.inFlight, id)
	}
}

// reportInvalidTransition counts a state change of a connection that cannot follow.
func (s *sharedState) reportInvalidTransition(id admission.ConnID, state connectionState, signal connectionSignal) {
	s.invalidTransitions.Add(1)
	s.monitor.Violate(invariant.InvalidTransition, uint64(id),
		zap.Stringer("state", state), zap.Stringer("signal", signal))
}
