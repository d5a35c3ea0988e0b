package sharedstore

import (
	"fmt"
	"testing"
	"time"

	"fennelarch/policy/routing"
)

const modelObject routing.ObjectID = 7

// modelStore is the content of a store: its log and one copy.
type modelStore struct {
	completeFrom, completeTo Timestamp // range of the log; completeTo 0: no log
	purgedAt                 Timestamp // the latest purge of the object in the log
	generatedAt, validFrom   Timestamp // of the copy; 0: no copy
}

// logModel models the synchronization of two routers with one store, for one object and its purges. The routers are
// Coordinators. An explorer tries every sequence of moves up to a given length.
type logModel struct {
	now      time.Duration
	purgedAt Timestamp // when the object was last purged
	store    modelStore
	snapshot modelStore
	routers  [2]*Coordinator
	read     [2]*LogRange // read on the current connection, and not followed by a write yet; nil: none
	maxGap   Timestamp    // see invalidationLog
}

// newLogModel starts both routers.
func newLogModel(maxGap Timestamp) *logModel {
	model := &logModel{now: 10 * time.Second, maxGap: maxGap}
	model.start(0)
	model.start(1)
	return model
}

// start starts a router, which knows nothing of earlier purges.
func (m *logModel) start(router int) {
	coordinator := newLogCoordinator()
	coordinator.invalidations.completeFrom, coordinator.invalidations.completeTo = m.wallClock(), m.wallClock()
	coordinator.invalidations.maxGap = m.maxGap
	m.routers[router] = coordinator
	m.connect(router)
}

func (m *logModel) connect(router int) {
	m.read[router] = nil
	connected := Event{Kind: EventConnected, Endpoint: testStore, RunID: 1, Uptime: time.Hour}
	m.routers[router].Handle(m.now, &connected, nil)
}

func (m *logModel) wallClock() Timestamp { return epoch + Timestamp(m.now/ms) }

// readLog has a router read the range of the store's log.
func (m *logModel) readLog(router int) bool {
	if m.read[router] != nil {
		return false
	}
	m.read[router] = &LogRange{m.store.completeFrom, m.store.completeTo}
	return true
}

// writeLog writes the update that a router plans from the range it read. The store may have changed since the read, but
// the connection has not.
func (m *logModel) writeLog(router int) bool {
	coordinator, stored := m.routers[router], m.read[router]
	if stored == nil {
		return false
	}
	m.read[router] = nil
	coordinator.RecordDiscoveryCurrent(m.wallClock())
	update := coordinator.PlanLogUpdate(m.now, testStore, *stored)
	if update.ReadAll {
		var entries []Invalidation
		if m.store.purgedAt > 0 {
			entries = []Invalidation{{Object: modelObject, IssuedAt: m.store.purgedAt}}
		}
		coordinator.MergeInvalidations(m.now, testStore, entries)
		return true
	}
	for _, entry := range update.Invalidations {
		m.store.purgedAt = max(m.store.purgedAt, entry.IssuedAt)
	}
	m.store.completeFrom = max(m.store.completeFrom, update.CompleteFrom)
	m.store.completeTo = max(m.store.completeTo, update.CompleteTo)
	coordinator.RecordLogUpdate(testStore, update)
	return true
}

// modelMove is an event of the model. Its function apply reports whether the event can happen now.
type modelMove struct {
	name  string
	apply func(m *logModel) bool
}

var modelMoves = []modelMove{
	{"a copy is stored", func(m *logModel) bool {
		m.store.generatedAt, m.store.validFrom = m.wallClock(), m.wallClock()
		return true
	}},
	{"purge", func(m *logModel) bool {
		m.purgedAt = m.wallClock()
		for _, router := range m.routers {
			router.RecordInvalidation(m.now, Invalidation{Object: modelObject, IssuedAt: m.purgedAt})
		}
		return true
	}},
	{"both routers stop, a purge, both start", func(m *logModel) bool {
		m.purgedAt = m.wallClock()
		m.now += ms
		m.start(0)
		m.start(1)
		return true
	}},
	{"A synchronizes", func(m *logModel) bool { return m.readLog(0) && m.writeLog(0) }},
	{"B synchronizes", func(m *logModel) bool { return m.readLog(1) && m.writeLog(1) }},
	{"A reads", func(m *logModel) bool { return m.readLog(0) }},
	{"A writes", func(m *logModel) bool { return m.writeLog(0) }},
	{"B reads", func(m *logModel) bool { return m.readLog(1) }},
	{"B writes", func(m *logModel) bool { return m.writeLog(1) }},
	{"A restarts", func(m *logModel) bool { m.start(0); return true }},
	{"B restarts", func(m *logModel) bool { m.start(1); return true }},
	{"the store takes a snapshot", func(m *logModel) bool {
		m.snapshot = m.store
		return m.store != modelStore{}
	}},
	{"the store restarts from the snapshot", func(m *logModel) bool {
		m.store = m.snapshot
		m.connect(0)
		m.connect(1)
		return true
	}},
	{"the store evicts its log", func(m *logModel) bool {
		existed := m.store.completeTo > 0
		m.store.completeFrom, m.store.completeTo, m.store.purgedAt = 0, 0, 0
		return existed
	}},
}

// check verifies that no router would serve the copy if the copy is older than the purge.
func (m *logModel) check() error {
	if m.store.generatedAt == 0 || m.store.generatedAt > m.purgedAt {
		return nil
	}
	for i, router := range m.routers {
		if router.invalidations.provesCurrent(modelObject, 0, m.store.generatedAt, m.store.validFrom) {
			return fmt.Errorf("router %c would serve a copy generated at %d, purged at %d",
				'A'+i, m.store.generatedAt-epoch, m.purgedAt-epoch)
		}
	}
	return nil
}

// explorer runs every sequence of moves up to a length.
type explorer struct {
	step      time.Duration // time between moves
	maxGap    Timestamp
	path      []int
	sequences int
}

// explore extends the path by up to depth moves, and returns the first violation that check finds.
func (e *explorer) explore(depth int) error {
	for i := range modelMoves {
		e.path = append(e.path, i)
		e.sequences++
		applies, err := e.replay()
		if err == nil && applies && depth > 1 {
			err = e.explore(depth - 1)
		}
		if err != nil {
			return err
		}
		e.path = e.path[:len(e.path)-1]
	}
	return nil
}

// replay runs the path from the start, and reports whether all its moves apply.
func (e *explorer) replay() (applies bool, err error) {
	model := newLogModel(e.maxGap)
	for _, i := range e.path {
		model.now += e.step
		if !modelMoves[i].apply(model) {
			return false, nil
		}
		if err := model.check(); err != nil {
			return true, err
		}
	}
	return true, nil
}

func (e *explorer) moves() []string {
	var names []string
	for _, i := range e.path {
		names = append(names, modelMoves[i].name)
	}
	return names
}

// No sequence of up to five moves, at steps shorter or longer than the takeover delay, makes a router serve a copy from
// before a purge.
func TestLogModel(t *testing.T) {
	for _, step := range []time.Duration{700 * ms, takeoverDelay + time.Second} {
		t.Run(step.String(), func(t *testing.T) {
			explorer := explorer{step: step}
			err := explorer.explore(5)
			t.Logf("%d sequences", explorer.sequences)
			if err != nil {
				t.Errorf("%v: %v", explorer.moves(), err)
			}
		})
	}
}

// The model detects a fault: a router that extends a range across a gap serves an old copy.
func TestLogModelFindsPlantedFault(t *testing.T) {
	explorer := explorer{step: takeoverDelay + time.Second, maxGap: unlimitedGap}
	err := explorer.explore(5)
	if err == nil {
		t.Fatal("the model does not detect a router that extends a range across a gap")
	}
	t.Log(explorer.moves(), err)
}
