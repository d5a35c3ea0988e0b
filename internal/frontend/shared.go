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

// sharedState is the state that all sessions of a server share.
type sharedState struct {
	limits        limits.Limits
	classes       map[string]routing.ClassID
	classSettings []classSettings
	tenants       []string
	monitor       *invariant.Monitor

	lastRequestID      atomic.Uint64
	backlogBytes       atomic.Int64 // total length of response bodies that are not in an output ring yet
	invalidTransitions atomic.Uint64

	mu       sync.Mutex
	inFlight map[engine.ClientRequestID]claim // request IDs in flight on all connections
}

// classSettings holds the settings of a request class that sessions need.
type classSettings struct {
	isWrite          bool
	latencyObjective time.Duration
	secondsPerKB     float64 // growth of the latency objective with the size of the object
	repeatPolicy     invariant.RepeatPolicy
}

// newClassSettings returns the settings of a class. With a transfer rate, the latency objective grows with the size of
// the requested object.
func newClassSettings(class *routing.Class, flowKBPerSecond float64) classSettings {
	settings := classSettings{
		isWrite:          class.Write,
		latencyObjective: class.LatencyObjective,
		repeatPolicy: invariant.RepeatPolicy{
			Idempotency: class.Idempotency, DedupScope: class.DedupScope, DedupWindow: class.DedupWindow,
		},
	}
	if flowKBPerSecond > 0 {
		settings.secondsPerKB = class.ObjectiveTransferFactor / flowKBPerSecond
	}
	return settings
}

// objectiveFor returns the latency objective of a request for an object of the given size.
func (c *classSettings) objectiveFor(sizeKB float64) time.Duration {
	return c.latencyObjective + time.Duration(sizeKB*c.secondsPerKB*float64(time.Second))
}

// setClasses sets the configured classes and tenants.
func (s *sharedState) setClasses(names config.Names, classes []routing.Class, flowKBPerSecond float64) {
	s.tenants = names.Tenants
	s.classes = map[string]routing.ClassID{}
	for i, name := range names.Classes {
		s.classes[name] = routing.ClassID(i)
		s.classSettings = append(s.classSettings, newClassSettings(&classes[i], flowKBPerSecond))
	}
}

// claim records the object and part that a client's request ID stands for, and the number of requests in flight with
// that ID.
type claim struct {
	object routing.ObjectID
	part   int
	count  int
}

// claim adds a use of a request's ID. It reports false if the ID is in use for another object or part.
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

// release removes a use of a request ID.
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

// reportInvalidTransition counts and reports a signal that is invalid in the state of a connection.
func (s *sharedState) reportInvalidTransition(id admission.ConnID, state connectionState, signal connectionSignal) {
	s.invalidTransitions.Add(1)
	s.monitor.RecordViolation(invariant.InvalidTransition, uint64(id),
		zap.Stringer("state", state), zap.Stringer("signal", signal))
}
