// Package guard holds the invariants of a request in one place: it has one final answer; no attempt begins once it has
// ended, its time is up, or the bound of the attempt has passed; none is repeated that may have run and must not run
// twice; no connection is closed by this side while a request on it is owed an answer.
//
// Every path that sends an attempt, ends a request or closes a connection asks the guard first, and gets a typed
// reason where it may not. Such a refusal is ordinary: events cross. What happened all the same is a violation: it is
// counted by kind, logged with the request's id, and the flight recorder is written out. A router that works counts
// none.
//
// The guard decides nothing: which server is asked, and whether an attempt is repeated, is decided in package rules.
package invariant

import (
	"sync"
	"sync/atomic"
	"time"

	"fennelarch/internal/flightrecorder"
	"fennelarch/internal/stalldetect"

	"go.uber.org/zap"
)

const (
	// EndSlack is how long after the end of a request an attempt for it may still become whole: what is being written
	// in the moment of a cancel.
	EndSlack = 100 * time.Millisecond
	// DeadlineSlack is how far the deadline that a server is told may exceed what the client has left.
	DeadlineSlack = 150 * time.Millisecond
	// GraceSlack is how far past its bound an attempt may become whole that began in time.
	GraceSlack = 50 * time.Millisecond
	// AnswerSlack is how long after the client's time a final answer may come without counting as a violation.
	AnswerSlack = 50 * time.Millisecond

	dumpEvery = 10 * time.Second // violations in a row write the recorder out once
)

// Monitor counts violations and holds what the guard needs of the process. All methods also do on nil.
type Monitor struct {
	log      *zap.Logger
	recorder *flightrecorder.Recorder
	watch    *stalldetect.Watch
	dump     func(reason string)

	counts [violationKinds]atomic.Uint64
	closed [closeReasons]atomic.Uint64

	mu     sync.Mutex
	dumped time.Time
}

// NewMonitor returns a monitor that has seen no violation. Where dump is set, it is called at a violation to write the
// recorder out.
func NewMonitor(log *zap.Logger, recorder *flightrecorder.Recorder, watch *stalldetect.Watch, dump func(reason string)) *Monitor {
	return &Monitor{log: log, recorder: recorder, watch: watch, dump: dump}
}

// Recorder is the flight recorder, nil where there is none.
func (m *Monitor) Recorder() *flightrecorder.Recorder {
	if m == nil {
		return nil
	}
	return m.recorder
}

// Watch notices stalls of the process, nil where nobody does.
func (m *Monitor) Watch() *stalldetect.Watch {
	if m == nil {
		return nil
	}
	return m.watch
}

// Record adds an event to the flight recorder.
func (m *Monitor) Record(e flightrecorder.Entry) {
	if m != nil {
		m.recorder.Add(e)
	}
}

// Violate counts a violation and tells of it, with the id of the request or connection and what led to it.
func (m *Monitor) Violate(kind Violation, id uint64, detail ...zap.Field) {
	if m == nil {
		return
	}
	m.counts[kind].Add(1)
	m.recorder.Add(flightrecorder.Entry{Event: flightrecorder.Violation, ID: id, Reason: uint8(kind)})
	m.log.Error("invariant violated", append([]zap.Field{zap.Stringer("kind", kind), hexadecimal("id", id)}, detail...)...)
	if m.dump == nil || !m.mayDump(time.Now()) {
		return
	}
	m.dump(kind.String())
}

func (m *Monitor) mayDump(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.dumped.IsZero() && now.Sub(m.dumped) < dumpEvery {
		return false
	}
	m.dumped = now
	return true
}

// Violations is how many violations there were, of all kinds together.
func (m *Monitor) Violations() (total uint64) {
	if m == nil {
		return 0
	}
	for kind := range m.counts {
		total += m.counts[kind].Load()
	}
	return total
}

// Counts are the violations by kind, and the closed connections by reason; what did not happen is left out.
func (m *Monitor) Counts() (violated, closed map[string]uint64) {
	violated, closed = map[string]uint64{}, map[string]uint64{}
	if m == nil {
		return violated, closed
	}
	for kind := range violationKinds {
		if n := m.counts[kind].Load(); n > 0 {
			violated[kind.String()] = n
		}
	}
	for reason := range closeReasons {
		if n := m.closed[reason].Load(); n > 0 {
			closed[reason.String()] = n
		}
	}
	return violated, closed
}

// CloseClient is asked before this side closes a client's connection on which so many requests have no final answer.
func (m *Monitor) CloseClient(connection uint64, reason CloseReason, open int) {
	if m == nil {
		return
	}
	m.closed[reason].Add(1)
	m.recorder.Add(flightrecorder.Entry{Event: flightrecorder.ConnectionClosed, ID: connection, Reason: uint8(reason), Value: int64(open)})
	if open > 0 && !reason.peers() {
		m.Violate(RequestUnanswered, connection, zap.Stringer("closed", reason), zap.Int("open", open))
	}
}

// CloseServer is asked before a connection to a server is closed on which so many attempts are open.
func (m *Monitor) CloseServer(node uint64, reason CloseReason, open int) {
	if m == nil {
		return
	}
	m.closed[reason].Add(1)
	m.recorder.Add(flightrecorder.Entry{Event: flightrecorder.ServerClosed, Endpoint: node, Reason: uint8(reason), Value: int64(open)})
	if open > 0 && reason.idle() {
		m.Violate(AttemptCutOff, node, zap.Stringer("closed", reason), zap.Int("open", open))
	}
}
