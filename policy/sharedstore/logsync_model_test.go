package sharedstore

import (
	"fmt"
	"testing"
	"time"

	"fennelarch/policy/routing"
)

const modelObject routing.ObjectID = 7

// modelStore is what a store has: its log as commands leave it, and a copy.
type modelStore struct {
	completeFrom, completeTo Timestamp // of the log; completeTo 0: there is none
	purgedAt                 Timestamp // the last purge of the object in the log
	generatedAt, validFrom   Timestamp // of the copy; 0: there is none
}

// logModel is a model of the synchronization: two routers, one store, one object and its purges, explored in every
// order of events to a depth. The routers are Coordinators.
type logModel struct {
	now      time.Duration
	purgedAt Timestamp // when the object was really purged last
	store    modelStore
	snapshot modelStore
	routers  [2]*Coordinator
	read     [2]*LogRange // read on the connection that is up, nothing written yet
	maxGap   Timestamp    // see invalidationLog
}

// newLogModel starts both routers.
func newLogModel(maxGap Timestamp) *logModel {
	model := &logModel{now: 10 * time.Second, maxGap: maxGap}
	model.start(0)
	model.start(1)
	return model
}

// start starts a router: it knows nothing of before.
func (m *logModel) start(router int) {
	coordinator := newLogCoordinator()
	coordinator.log.completeFrom, coordinator.log.completeTo = m.wallClock(), m.wallClock()
	coordinator.log.maxGap = m.maxGap
	m.routers[router] = coordinator
	m.connect(router)
}

func (m *logModel) connect(router int) {
	m.read[router] = nil
	connected := Event{Kind: EventConnected, Endpoint: storeS, RunID: 1, Uptime: time.Hour}
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

// writeLog carries out what a router plans on what it read; the store may have changed since, but not the connection.
func (m *logModel) writeLog(router int) bool {
	coordinator, stored := m.routers[router], m.read[router]
	if stored == nil {
		return false
	}
	m.read[router] = nil
	coordinator.DiscoveryCurrent(m.wallClock())
	update := coordinator.PlanLogUpdate(m.now, storeS, *stored)
	if update.NeedsAll {
		var entries []Invalidation
		if m.store.purgedAt > 0 {
			entries = []Invalidation{{Object: modelObject, IssuedAt: m.store.purgedAt}}
		}
		coordinator.MergeInvalidations(m.now, storeS, entries)
		return true
	}
	for _, entry := range update.Invalidations {
		m.store.purgedAt = max(m.store.purgedAt, entry.IssuedAt)
	}
	m.store.completeFrom = max(m.store.completeFrom, update.CompleteFrom)
	m.store.completeTo = max(m.store.completeTo, update.CompleteTo)
	coordinator.LogUpdateWritten(storeS, update)
	return true
}

// modelMove is something that may happen; do says whether it applies.
type modelMove struct {
	name string
	do   func(m *logModel) bool
}

var modelMoves = []modelMove{
	{"store A's fill", func(m *logModel) bool {
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
	{"all die, a purge, all are back", func(m *logModel) bool {
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
	{"A dies and is back", func(m *logModel) bool { m.start(0); return true }},
	{"B dies and is back", func(m *logModel) bool { m.start(1); return true }},
	{"snapshot", func(m *logModel) bool {
		m.snapshot = m.store
		return m.store != modelStore{}
	}},
	{"restart with it", func(m *logModel) bool {
		m.store = m.snapshot
		m.connect(0)
		m.connect(1)
		return true
	}},
	{"log evicted", func(m *logModel) bool {
		existed := m.store.completeTo > 0
		m.store.completeFrom, m.store.completeTo, m.store.purgedAt = 0, 0, 0
		return existed
	}},
}

// check is what must be true: no router would serve the copy if it is older than the purge.
func (m *logModel) check() error {
	if m.store.generatedAt == 0 || m.store.generatedAt > m.purgedAt {
		return nil
	}
	for i, router := range m.routers {
		if router.log.proves(modelObject, 0, m.store.generatedAt, m.store.validFrom) {
			return fmt.Errorf("router %c would serve a copy of %d, purged %d",
				'A'+i, m.store.generatedAt-epoch, m.purgedAt-epoch)
		}
	}
	return nil
}

// explorer plays every order of moves to a depth.
type explorer struct {
	step   time.Duration // between moves
	maxGap Timestamp
	path   []int
	orders int
}

// explore returns the first order that breaks the rule.
func (e *explorer) explore(depth int) error {
	for i := range modelMoves {
		e.path = append(e.path, i)
		e.orders++
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

// replay plays the path from the start, and says whether all its moves apply.
func (e *explorer) replay() (applies bool, err error) {
	model := newLogModel(e.maxGap)
	for _, i := range e.path {
		model.now += e.step
		if !modelMoves[i].do(model) {
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

// Every order of five events, at steps shorter and longer than the takeover delay.
func TestLogModel(t *testing.T) {
	for _, step := range []time.Duration{700 * ms, takeoverDelay + time.Second} {
		t.Run(step.String(), func(t *testing.T) {
			explorer := explorer{step: step}
			err := explorer.explore(5)
			t.Logf("%d orders", explorer.orders)
			if err != nil {
				t.Errorf("%v: %v", explorer.moves(), err)
			}
		})
	}
}

// The model can fail: a router that joins a range with a gap serves an old copy.
func TestLogModelFindsPlantedFault(t *testing.T) {
	explorer := explorer{step: takeoverDelay + time.Second, maxGap: contiguousAlways}
	err := explorer.explore(5)
	if err == nil {
		t.Fatal("a router that joins a range with a gap is not found")
	}
	t.Log(explorer.moves(), err)
}
