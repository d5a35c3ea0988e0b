package sharedstore

import (
	"fmt"
	"testing"
	"time"

	"fennelarch/policy/routing"
)

// A model of the ledger: two routers, one store, one object and its purges, explored in every order of events to a stated
// depth. The routers are Keepers; what the store has is a floor, an end and the last purge, as commands leave them.
type shelf struct {
	floor, seen, purged Timestamp // of the ledger; seen 0: there is none
	born, valid         Timestamp // of the copy; 0: there is none
}

type model struct {
	now    time.Duration
	told   Timestamp // when the object was last purged, for the truth
	shelf  shelf
	saved  shelf
	router [2]*Coordinator
	read   [2]*LogRange // read on the connection that is up, nothing yet written
	path   []string
}

const modelObject routing.ObjectID = 7

func modelSet(now time.Duration) Settings {
	s := plainSet()
	s.PurgeCompleteAfter = 0
	s.Epoch = epoch
	return s
}

// up starts router i: it knows nothing of before.
func (m *model) up(i int) {
	k := New(modelSet(m.now), 1, storeS)
	k.log.completeFrom, k.log.completeTo = epoch+Timestamp(m.now/ms), epoch+Timestamp(m.now/ms)
	m.router[i], m.read[i] = k, nil
	m.connect(i)
}

func (m *model) connect(i int) {
	m.read[i] = nil
	m.router[i].Handle(m.now, &Event{Kind: EventConnected, Endpoint: storeS, RunID: 1, Age: time.Hour}, nil)
}

func (m *model) wall() Timestamp { return epoch + Timestamp(m.now/ms) }

// moves are all that may happen; each says whether it applies.
var moves = []struct {
	name string
	do   func(m *model) bool
}{
	{"store A's fill", func(m *model) bool { m.shelf.born, m.shelf.valid = m.wall(), m.wall(); return m.router[0] != nil }},
	{"purge", func(m *model) bool {
		m.told = m.wall()
		for _, k := range m.router {
			if k != nil {
				k.RecordInvalidation(m.now, Invalidation{Object: modelObject, IssuedAt: m.told})
			}
		}
		return true
	}},
	{"all die, a purge, all are back", func(m *model) bool {
		m.told = m.wall()
		m.now += ms
		m.up(0)
		m.up(1)
		return true
	}},
	{"A's beat", func(m *model) bool { return m.reads(0) && m.writes(0) }},
	{"B's beat", func(m *model) bool { return m.reads(1) && m.writes(1) }},
	{"A reads", func(m *model) bool { return m.reads(0) }},
	{"A writes", func(m *model) bool { return m.writes(0) }},
	{"B reads", func(m *model) bool { return m.reads(1) }},
	{"B writes", func(m *model) bool { return m.writes(1) }},
	{"A dies and is back", func(m *model) bool { m.up(0); return true }},
	{"B dies and is back", func(m *model) bool { m.up(1); return true }},
	{"snapshot", func(m *model) bool { m.saved = m.shelf; return m.shelf != shelf{} }},
	{"restart with it", func(m *model) bool {
		m.shelf = m.saved
		m.connect(0)
		m.connect(1)
		return true
	}},
	{"ledger evicted", func(m *model) bool {
		was := m.shelf.seen
		m.shelf.floor, m.shelf.seen, m.shelf.purged = 0, 0, 0
		return was > 0
	}},
}

func (m *model) reads(i int) bool {
	if m.router[i] == nil || m.read[i] != nil {
		return false
	}
	m.read[i] = &LogRange{m.shelf.floor, m.shelf.seen}
	return true
}

// writes carries out what a router plans on what it read; the store may have changed since, but not the connection.
func (m *model) writes(i int) bool {
	k, is := m.router[i], m.read[i]
	if k == nil || is == nil {
		return false
	}
	m.read[i] = nil
	k.DiscoveryCurrent(m.wall()) // the bulletin has told all by now
	p := k.PlanLogUpdate(m.now, storeS, *is)
	if p.NeedsAll {
		var list []Invalidation
		if m.shelf.purged > 0 {
			list = []Invalidation{{Object: modelObject, IssuedAt: m.shelf.purged}}
		}
		k.MergeInvalidations(m.now, storeS, list, true)
		return true
	}
	for _, x := range p.Invalidations {
		m.shelf.purged = max(m.shelf.purged, x.IssuedAt)
	}
	m.shelf.floor, m.shelf.seen = max(m.shelf.floor, p.CompleteFrom), max(m.shelf.seen, p.CompleteTo)
	k.LogUpdateWritten(storeS, p)
	return true
}

// holds is what must be true: no router would serve the copy if it is older than the purge.
func (m *model) holds() error {
	if m.shelf.born == 0 || m.shelf.born > m.told {
		return nil
	}
	for i, k := range m.router {
		if k != nil && k.log.proves(modelObject, 0, m.shelf.born, m.shelf.valid) {
			return fmt.Errorf("router %c would serve a copy of %d, purged %d", 'A'+i, m.shelf.born-epoch, m.told-epoch)
		}
	}
	return nil
}

// explore plays every order of moves to a depth, and returns the first that breaks the rule.
func explore(depth int, step time.Duration) (path []string, err error, states int) {
	var path2 []int
	var replay func() (*model, bool, error)
	replay = func() (*model, bool, error) {
		m := &model{now: 10 * time.Second}
		m.up(0)
		m.up(1)
		for _, i := range path2 {
			m.now += step
			if !moves[i].do(m) {
				return nil, false, nil
			}
			if err := m.holds(); err != nil {
				return m, true, err
			}
		}
		return m, true, nil
	}
	var walk func(left int) error
	walk = func(left int) error {
		for i := range moves {
			path2 = append(path2, i)
			states++
			_, applies, err := replay()
			if err == nil && applies && left > 1 {
				err = walk(left - 1)
			}
			if err != nil {
				return err
			}
			path2 = path2[:len(path2)-1]
		}
		return nil
	}
	err = walk(depth)
	for _, i := range path2 {
		path = append(path, moves[i].name)
	}
	return path, err, states
}

// Every order of five events, at steps longer and shorter than the wait of the young.
func TestLedgerModel(t *testing.T) {
	for _, step := range []time.Duration{700 * ms, takeoverDelay + time.Second} {
		path, err, n := explore(5, step)
		t.Logf("%d orders at steps of %v", n, step)
		if err != nil {
			t.Errorf("%v: %v", path, err)
		}
	}
}

// The model can fail: a router that trusts whatever the store says of itself serves an old copy.
func TestLedgerModelSees(t *testing.T) {
	was := touches
	touches = func(Timestamp, Timestamp) bool { return true }
	defer func() { touches = was }()
	if path, err, _ := explore(5, takeoverDelay+time.Second); err == nil {
		t.Error("a router that joins an interval with a hole is not seen")
	} else {
		t.Log(path, err)
	}
}

// A router that starts late takes over what the store's interval proves, once an older one has moved its end past its start.
func ExampleCoordinator_PlanLogUpdate() {
	old, young := New(modelSet(0), 1, storeS), New(modelSet(0), 1, storeS)
	young.log.completeFrom, young.log.completeTo = epoch+60_000, epoch+60_000
	show := func(who string, p LogUpdate) {
		fmt.Printf("%s: wants all %v, marks %d, floor %d, seen %d\n", who, p.NeedsAll, len(p.Invalidations), max(0, p.CompleteFrom-epoch), max(0, p.CompleteTo-epoch))
	}
	old.RecordInvalidation(30*time.Second, Invalidation{Object: 7, IssuedAt: epoch + 30_000})
	old.DiscoveryCurrent(epoch + 50_000)
	show("old, the store has nothing", old.PlanLogUpdate(50*time.Second, storeS, LogRange{}))
	show("young, too early", young.PlanLogUpdate(61*time.Second, storeS, LogRange{epoch, epoch + 50_000}))
	old.DiscoveryCurrent(epoch + 62_000)
	show("old moves it on", old.PlanLogUpdate(62*time.Second, storeS, LogRange{epoch, epoch + 50_000}))
	show("young", young.PlanLogUpdate(63*time.Second, storeS, LogRange{epoch, epoch + 62_000}))
	fmt.Println("copies of before its start are proved:", young.log.proves(8, 0, epoch+40_000, 0))
	young.MergeInvalidations(63*time.Second, storeS, []Invalidation{{Object: 7, IssuedAt: epoch + 30_000}}, true)
	fmt.Println("then:", young.log.proves(8, 0, epoch+40_000, 0), "but not one from before a purge:", young.log.proves(7, 0, epoch+20_000, 0))
	// Output:
	// old, the store has nothing: wants all false, marks 1, floor 0, seen 50000
	// young, too early: wants all false, marks 0, floor 0, seen 0
	// old moves it on: wants all false, marks 1, floor 0, seen 62000
	// young: wants all true, marks 0, floor 0, seen 0
	// copies of before its start are proved: false
	// then: true but not one from before a purge: false
}

// The wall clock is set back or forward by an hour: no copy that was stored before is proved any more, whichever purge came after;
// what is stored later is, once the clock has passed both readings; and no end is written that lies in the future.
func TestClockStep(t *testing.T) {
	for _, by := range []time.Duration{-time.Hour, time.Hour} {
		k := New(modelSet(0), 1, storeS)
		k.log.completeFrom, k.log.completeTo = epoch, epoch
		k.Handle(0, &Event{Kind: EventConnected, Endpoint: storeS, RunID: 1, Age: time.Hour}, nil)
		now := 10 * time.Minute
		k.now = now
		k.DiscoveryCurrent(epoch + Timestamp(now/ms))
		old := epoch + Timestamp((now-time.Minute)/ms)
		if !k.log.proves(modelObject, 0, old, old) || k.isInFuture(old, old) {
			t.Fatal("a copy is not proved without any step")
		}
		k.ClockStepped(now, by)
		if k.wallClock() != epoch+Timestamp((now+by)/ms) {
			t.Errorf("step %v: the time is %d", by, k.wallClock()-epoch)
		}
		k.RecordInvalidation(now, Invalidation{Object: modelObject, IssuedAt: k.wallClock()})
		for _, valid := range []Timestamp{0, old} {
			if k.log.proves(modelObject, 0, old, valid) && !k.isInFuture(old, valid) {
				t.Errorf("step %v: a copy from before a purge is proved", by)
			}
		}
		if p := k.PlanLogUpdate(now+takeoverDelay+time.Second, storeS, LogRange{}); p.CompleteTo > k.wallClock()+maxClockSkew {
			t.Errorf("step %v: an end is written that lies %d ms ahead", by, p.CompleteTo-k.wallClock())
		}
		k.now = now + time.Hour + time.Minute
		if born := k.wallClock(); !k.log.proves(modelObject, 0, born, born) || k.isInFuture(born, born) {
			t.Errorf("step %v: a copy of after it is never proved", by)
		}
	}
}
