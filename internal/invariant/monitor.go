// Package invariant checks that the router keeps these invariants for every request:
//
//   - A request gets exactly one final response.
//   - No attempt begins after the request has ended, after its deadline, or after the start bound of the attempt.
//   - No attempt repeats an earlier one that may have run and must not run twice.
//   - The router does not close a connection while a request on it waits for its response.
//
// All code that sends an attempt, ends a request or closes a connection asks this package first. A denial carries a
// typed reason and is normal, because events race. An invariant that is broken nevertheless is a violation, which is
// counted by kind, logged with the request id, and triggers a dump of the flight recorder. A correct router has none.
//
// This package makes no routing decisions: package routing chooses endpoints and decides on retries.
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

// dumpInterval is the shortest time between two dumps of the flight recorder that violations trigger.
const dumpInterval = 10 * time.Second

// Monitor counts violations and gives access to the flight recorder and the stall detector. A nil Monitor is valid and
// checks nothing.
type Monitor struct {
	log      *zap.Logger
	recorder *flightrecorder.Recorder
	stalls   *stalldetect.Detector
	dump     func(reason string)

	violations [violationKindCount]atomic.Uint64
	closes     [closeReasonCount]atomic.Uint64

	mu       sync.Mutex
	dumpedAt time.Time
}

// NewMonitor returns a monitor without violations. If dump is not nil, the monitor calls it on a violation, at most
// once per dumpInterval, to write out the recorder.
func NewMonitor(
	log *zap.Logger, recorder *flightrecorder.Recorder, stalls *stalldetect.Detector, dump func(reason string),
) *Monitor {
	return &Monitor{log: log, recorder: recorder, stalls: stalls, dump: dump}
}

// Recorder returns the flight recorder, which may be nil.
func (m *Monitor) Recorder() *flightrecorder.Recorder {
	if m == nil {
		return nil
	}
	return m.recorder
}

// StallDetector returns the detector of process stalls, which may be nil.
func (m *Monitor) StallDetector() *stalldetect.Detector {
	if m == nil {
		return nil
	}
	return m.stalls
}

// Record adds an event to the flight recorder.
func (m *Monitor) Record(entry flightrecorder.Entry) {
	if m != nil {
		m.recorder.Add(entry)
	}
}

// RecordViolation counts, records and logs a violation. The id is that of the request, connection or endpoint
// concerned.
func (m *Monitor) RecordViolation(kind Violation, id uint64, detail ...zap.Field) {
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

// isDumpDue reports whether dumpInterval has passed since the last dump. If so, now becomes the time of the last dump.
func (m *Monitor) isDumpDue(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.dumpedAt.IsZero() && now.Sub(m.dumpedAt) < dumpInterval {
		return false
	}
	m.dumpedAt = now
	return true
}

// Violations returns the number of violations of all kinds.
func (m *Monitor) Violations() (total uint64) {
	if m == nil {
		return 0
	}
	for kind := range m.violations {
		total += m.violations[kind].Load()
	}
	return total
}

// Counts returns the violations by kind and the closed connections by reason, without the entries that are zero.
func (m *Monitor) Counts() (violations, closes map[string]uint64) {
	violations, closes = map[string]uint64{}, map[string]uint64{}
	if m == nil {
		return violations, closes
	}
	for kind := range violationKindCount {
		if n := m.violations[kind].Load(); n > 0 {
			violations[kind.String()] = n
		}
	}
	for reason := range closeReasonCount {
		if n := m.closes[reason].Load(); n > 0 {
			closes[reason.String()] = n
		}
	}
	return violations, closes
}

// RecordClientClose records that a client connection with openRequests unanswered requests is about to be closed.
func (m *Monitor) RecordClientClose(connection uint64, reason CloseReason, openRequests int) {
	if m == nil {
		return
	}
	m.closes[reason].Add(1)
	m.recorder.Add(flightrecorder.Entry{
		Event: flightrecorder.ConnectionClosed, ID: connection, Reason: uint8(reason), Value: int64(openRequests),
	})
	if openRequests > 0 && !reason.isCausedByClient() {
		m.RecordViolation(RequestUnanswered, connection,
			zap.Stringer("close_reason", reason), zap.Int("in_flight", openRequests))
	}
}

// RecordServerClose records that a connection to a server with openAttempts attempts in flight is about to be closed.
func (m *Monitor) RecordServerClose(endpoint uint64, reason CloseReason, openAttempts int) {
	if m == nil {
		return
	}
	m.closes[reason].Add(1)
	m.recorder.Add(flightrecorder.Entry{
		Event: flightrecorder.ServerClosed, Endpoint: endpoint, Reason: uint8(reason), Value: int64(openAttempts),
	})
	if openAttempts > 0 && reason.requiresIdle() {
		m.RecordViolation(AttemptCutOff, endpoint,
			zap.Stringer("close_reason", reason), zap.Int("in_flight", openAttempts))
	}
}
