// Package invariant checks the invariants of a request in one place: it has one final response; no attempt begins once
// it has ended, its deadline has passed, or the start bound of the attempt has passed; none is repeated that may have
// run and must not run twice; no connection is closed by this side while a request on it waits for its response.
//
// Every path that sends an attempt, ends a request or closes a connection asks here first, and is given a typed reason
// where it may not. Such a denial is ordinary: events cross. What happened all the same is a violation: it is counted
// by kind, logged with the id of the request, and the flight recorder is written out. A correct router counts none.
//
// This package decides nothing: which endpoint is asked, and whether an attempt is repeated, is decided in package
// routing.
package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"fennelarch/internal/flightrecorder"
	"fennelarch/internal/stalldetect"

	"go.uber.org/zap"
)

// dumpInterval bounds how often violations write out the flight recorder.
const dumpInterval = 10 * time.Second

// Monitor counts violations, and holds what checking needs of the process. All methods work on nil, where nothing is
// checked.
type Monitor struct {
	log      *zap.Logger
	recorder *flightrecorder.Recorder
	watch    *stalldetect.Watch
	dump     func(reason string)

	violations [violationKinds]atomic.Uint64
	closes     [closeReasons]atomic.Uint64

	mu       sync.Mutex
	dumpedAt time.Time
}

// NewMonitor returns a monitor without violations. If dump is set, it is called at a violation to write out the
// recorder.
func NewMonitor(
	log *zap.Logger, recorder *flightrecorder.Recorder, watch *stalldetect.Watch, dump func(reason string),
) *Monitor {
	return &Monitor{log: log, recorder: recorder, watch: watch, dump: dump}
}

// Recorder is the flight recorder, or nil.
func (m *Monitor) Recorder() *flightrecorder.Recorder {
	if m == nil {
		return nil
	}
	return m.recorder
}

// Watch detects stalls of the process; it may be nil.
func (m *Monitor) Watch() *stalldetect.Watch {
	if m == nil {
		return nil
	}
	return m.watch
}

// Record adds an event to the flight recorder.
func (m *Monitor) Record(entry flightrecorder.Entry) {
	if m != nil {
		m.recorder.Add(entry)
	}
}

// Violate counts a violation and logs it, with the id of the request or connection and what led to it.
func (m *Monitor) Violate(kind Violation, id uint64, detail ...zap.Field) {
	if m == nil {
		return
	}
	m.violations[kind].Add(1)
	m.recorder.Add(flightrecorder.Entry{Event: flightrecorder.Violation, ID: id, Reason: uint8(kind)})
	fields := []zap.Field{zap.Stringer("kind", kind), zap.String("id", fmt.Sprintf("%016x", id))}
	m.log.Error("invariant violated", append(fields, detail...)...)
	if m.dump != nil && m.isDumpDue(time.Now()) {
		m.dump(kind.String())
	}
}

// isDumpDue reports whether the last dump is long enough ago, and if so takes this one for the last.
func (m *Monitor) isDumpDue(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.dumpedAt.IsZero() && now.Sub(m.dumpedAt) < dumpInterval {
		return false
	}
	m.dumpedAt = now
	return true
}

// Violations is the number of violations of all kinds.
func (m *Monitor) Violations() (total uint64) {
	if m == nil {
		return 0
	}
	for kind := range m.violations {
		total += m.violations[kind].Load()
	}
	return total
}

// Counts are the violations by kind, and the closed connections by reason; what did not happen is left out.
func (m *Monitor) Counts() (violations, closes map[string]uint64) {
	violations, closes = map[string]uint64{}, map[string]uint64{}
	if m == nil {
		return violations, closes
	}
	for kind := range violationKinds {
		if n := m.violations[kind].Load(); n > 0 {
			violations[kind.String()] = n
		}
	}
	for reason := range closeReasons {
		if n := m.closes[reason].Load(); n > 0 {
			closes[reason.String()] = n
		}
	}
	return violations, closes
}

// RecordClientClose is called before a client's connection is closed on which so many requests have no final response.
func (m *Monitor) RecordClientClose(connection uint64, reason CloseReason, openRequests int) {
	if m == nil {
		return
	}
	m.closes[reason].Add(1)
	m.recorder.Add(flightrecorder.Entry{
		Event: flightrecorder.ConnectionClosed, ID: connection, Reason: uint8(reason), Value: int64(openRequests),
	})
	if openRequests > 0 && !reason.isByClient() {
		m.Violate(RequestUnanswered, connection,
			zap.Stringer("close_reason", reason), zap.Int("in_flight", openRequests))
	}
}

// RecordServerClose is called before a connection to a server is closed on which so many attempts are in flight.
func (m *Monitor) RecordServerClose(endpoint uint64, reason CloseReason, openAttempts int) {
	if m == nil {
		return
	}
	m.closes[reason].Add(1)
	m.recorder.Add(flightrecorder.Entry{
		Event: flightrecorder.ServerClosed, Endpoint: endpoint, Reason: uint8(reason), Value: int64(openAttempts),
	})
	if openAttempts > 0 && reason.requiresIdle() {
		m.Violate(AttemptCutOff, endpoint,
			zap.Stringer("close_reason", reason), zap.Int("in_flight", openAttempts))
	}
}
