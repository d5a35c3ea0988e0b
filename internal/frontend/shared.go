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
	"fennelarch/policy/replay"
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

	mu      sync.Mutex
	replays replay.Registry // request IDs of all connections
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

// idUse returns what a request uses its ID for.
func (s *sharedState) idUse(request *engine.Request) replay.Use {
	return replay.Use{
		ID: uint64(request.ClientRequestID), Object: uint64(request.Object), Part: request.Part,
		MayRunRepeats: s.classSettings[request.Class].repeatPolicy.Idempotency == routing.Idempotent,
	}
}

// openID records that a request uses its ID. It reports false if the request may not be taken.
func (s *sharedState) openID(request *engine.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replays.Open(s.idUse(request), time.Since(processStart))
}

// answeredID records that the client of a request has its answer or has left.
func (s *sharedState) answeredID(request *engine.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replays.Answered(s.idUse(request))
}

// finishedID records that no attempt of a request goes on.
func (s *sharedState) finishedID(request *engine.Request) {
	mayHaveRun := request.Invariants.MayHaveRun()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replays.Finished(s.idUse(request), mayHaveRun, time.Since(processStart))
}

// reportInvalidTransition counts and reports a signal that is invalid in the state of a connection.
func (s *sharedState) reportInvalidTransition(id admission.ConnID, state connectionState, signal connectionSignal) {
	s.invalidTransitions.Add(1)
	s.monitor.RecordViolation(invariant.InvalidTransition, uint64(id),
		zap.Stringer("state", state), zap.Stringer("signal", signal))
}
