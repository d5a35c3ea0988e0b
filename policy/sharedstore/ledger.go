package sharedstore

// The ledger of purges. Each router knows every purge that was told since some moment: its knowledge is an interval of
// time with all purges in it. The store keeps such an interval too, in one value: the purges, a floor and an end, "seen";
// the value says that every purge told from floor to seen is in it. The end and the floor only ever grow, and a purge's
// time too, so routers write without agreement and in any order. A router may move seen to where its own knowledge
// reaches if that touches the store's interval; if it does not, something may lie between that nobody knows, and the
// floor moves up to where its own begins. A copy is served if its validity lies in an interval that reaches to this moment
// without a hole, and it was born after every purge of it therein.
//
// A store that comes back empty, with an old snapshot, or without the value (it may drop any value, but only whole)
// shows an interval that ends early or none; whoever knows more writes it in again. A router that starts late takes the
// store's interval over as soon as another has moved its end past that router's start.

import (
	"slices"
	"time"

	"fennelarch/policy/routing"
)

// PurgeMark is one purge: of an object, or of a group where the object is 0.
type PurgeMark struct {
	Object routing.ObjectID
	Group  routing.GroupID
	Issued Timestamp
}

const (
	// marksKept bounds a ledger: a purge a second for over an hour. What falls out shortens the interval.
	marksKept = 4096
	// skew is how far the clocks of routers, origin and purger may be apart.
	skew Timestamp = 500
	// A young router leaves it for so long to older ones to join the store's interval to this moment, before it gives
	// up what was stored earlier: they write at least each beat.
	youngFor = 5 * time.Second
)

// LedgerInterval is how often a store's interval is read and moved on; a purge moves it at once. Half of what late starters wait.
const LedgerInterval = time.Second

// sync is how far this router and one store's ledger know of each other, on one connection.
type sync struct {
	up     time.Duration // when the connection came
	read   bool          // the store's interval was read on this connection
	has    bool          // it has one
	floor  Timestamp
	seen   Timestamp
	told   int  // marks of ours that the store has taken
	taking bool // all its marks are being read
	vast   bool // they are more than can be kept
}

type ledger struct {
	since  Timestamp // every purge told from here
	asOf   Timestamp // to here is known
	life   time.Duration
	byObj  map[routing.ObjectID]Timestamp
	byGrp  map[routing.GroupID]Timestamp
	marks  []PurgeMark // in the order in which they were told
	passed int         // marks that have fallen out, so that places in the order stay true
}

func newLedger(start Timestamp, life time.Duration) ledger {
	return ledger{since: start, asOf: start, life: life, byObj: map[routing.ObjectID]Timestamp{}, byGrp: map[routing.GroupID]Timestamp{}}
}

// last is the latest purge of an object or its group.
func (l *ledger) last(o routing.ObjectID, g routing.GroupID) Timestamp {
	return max(l.byObj[o], l.byGrp[g])
}

// newer says whether a copy is newer than every purge that is known.
func (l *ledger) newer(o routing.ObjectID, g routing.GroupID, born Timestamp) bool {
	return born > l.last(o, g)
}

// proves says whether a copy is newer than every purge that there was: this router must know all purges since the moment
// before which none can have been missed.
func (l *ledger) proves(o routing.ObjectID, g routing.GroupID, born, valid Timestamp) bool {
	return max(born, valid) >= l.since+skew && l.newer(o, g, born)
}

// add takes a purge, if it says anything new.
func (l *ledger) add(m PurgeMark) bool {
	if m.Object != 0 {
		if l.byObj[m.Object] >= m.Issued {
			return false
		}
		l.byObj[m.Object] = m.Issued
	} else {
		if l.byGrp[m.Group] >= m.Issued {
			return false
		}
		l.byGrp[m.Group] = m.Issued
	}
	l.marks = append(l.marks, m)
	if len(l.marks) > marksKept {
		l.drop(len(l.marks)-marksKept, true)
	}
	return true
}

// drop forgets the first marks. Where they might still matter, the interval begins after them.
func (l *ledger) drop(n int, matter bool) {
	for _, m := range l.marks[:n] {
		if matter {
			l.since = max(l.since, m.Issued+1)
		}
		switch {
		case m.Object != 0 && l.byObj[m.Object] == m.Issued:
			delete(l.byObj, m.Object)
		case m.Object == 0 && l.byGrp[m.Group] == m.Issued:
			delete(l.byGrp, m.Group)
		}
	}
	l.marks = slices.Delete(l.marks, 0, n)
	l.passed += n
}

// age forgets what no copy can be as old as.
func (l *ledger) age(now Timestamp) {
	n := 0
	for n < len(l.marks) && l.marks[n].Issued < l.dead(now) {
		n++
	}
	if n > 0 {
		l.drop(n, false)
	}
}

// dead is the time before which no copy that is still in a store can be born.
func (l *ledger) dead(now Timestamp) Timestamp {
	return now - Timestamp(l.life/ms) - 2*skew - Timestamp(youngFor/ms)
}

// RecordPurge takes a purge that was told, and says whether the stores are to hear of it now.
func (k *Coordinator) RecordPurge(now time.Duration, m PurgeMark) bool {
	k.now = max(now, k.now)
	k.ledger.age(k.wall())
	return k.ledger.add(m)
}

// DiscoveryCurrent says that whatever was told before a moment is known.
func (k *Coordinator) DiscoveryCurrent(asOf Timestamp) { k.ledger.asOf = max(k.ledger.asOf, asOf) }

// DiscoveryGap says that purges may have been told of which this router will never know, up to now.
func (k *Coordinator) DiscoveryGap(now time.Duration) {
	k.now = max(now, k.now)
	k.ledger.since = k.wall()
	k.ledger.asOf = max(k.ledger.asOf, k.ledger.since)
}

// ClockStepped says that the wall clock was set by so much. What was stamped before and what is stamped from now on cannot be
// compared: nothing that was stored until now is proved any more, until the clock has passed both readings.
func (k *Coordinator) ClockStepped(now, by time.Duration) {
	k.now = max(now, k.now)
	before := k.wall()
	k.set.Epoch += Timestamp(by / ms)
	k.ledger.since = max(before, k.wall())
	k.ledger.asOf = max(k.ledger.asOf, k.ledger.since)
}

// ahead says whether a copy's stamps lie in the future: a clock has been set back since, and they prove nothing.
func (k *Coordinator) ahead(born, valid Timestamp) bool { return max(born, valid) > k.wall()+skew }

// LedgerRange is what a store's ledger says of itself; one without an end has none.
type LedgerRange struct{ Floor, Seen Timestamp }

// LedgerUpdate is what a router writes into a store's ledger, in one command, or that it wants all its marks first.
type LedgerUpdate struct {
	Wants bool
	Marks []PurgeMark
	Floor Timestamp // 0: as it is
	Seen  Timestamp // 0: as it is
	Upto  int       // to be told to Wrote
	Old   Timestamp // marks before this may be dropped from the store; 0: none now
}

// ReadInterval takes a store's interval, as read on this connection, and says what to write. Lent until the next call.
func (k *Coordinator) ReadInterval(now time.Duration, id routing.EndpointID, i LedgerRange) LedgerUpdate {
	k.now = max(now, k.now)
	at, known := k.index[id]
	if !known {
		return LedgerUpdate{}
	}
	n, l := &k.nodes[at], &k.ledger
	l.age(k.wall())
	s := &n.synced
	if !s.read {
		s.up, s.told = k.now, l.passed
	}
	if s.read && s.has && i.Seen < s.seen && i.Seen > 0 {
		s.told = l.passed // the store went back behind our back: all is written anew
	}
	lost := s.read && s.has && i.Seen == 0
	s.read, s.has, s.floor, s.seen = true, i.Seen > 0, i.Floor, i.Seen
	k.charge(n, 2)
	if lost {
		s.told = l.passed
		k.link(&Event{Kind: EventLost, Node: id})
	}
	switch {
	case s.has && !s.vast && l.since > max(s.floor, l.dead(k.wall())) && s.seen >= l.since+skew:
		s.taking = true
		return LedgerUpdate{Wants: true}
	case s.has && !touches(l.since, s.seen) && k.now-s.up < youngFor:
		return LedgerUpdate{}
	}
	p := LedgerUpdate{Seen: min(max(l.asOf, l.since), k.wall()+skew), Upto: l.passed + len(l.marks)}
	s.told = max(s.told, l.passed)
	p.Marks = l.marks[s.told-l.passed:]
	if len(p.Marks) > marksAtOnce {
		// Seen must not pass what has not been written.
		p.Marks, p.Seen, p.Upto = p.Marks[:marksAtOnce], 0, s.told+marksAtOnce
	}
	if !s.has || !touches(l.since, s.seen) {
		p.Floor = l.since
		if p.Seen == 0 {
			p.Floor = 0 // the interval is told with its last marks
		}
	}
	if k.now-s.up > youngFor {
		p.Old = l.dead(k.wall())
	}
	return p
}

// touches says whether knowledge from a moment on joins an interval that ends at another without a hole.
var touches = func(since, seen Timestamp) bool { return since <= seen }

// marksAtOnce is how many marks go in one command: some 30 KB.
const marksAtOnce = 1000

// LedgerWritten says that what a plan held is in the store, and whether there is more to write at once.
func (k *Coordinator) LedgerWritten(id routing.EndpointID, p LedgerUpdate) (more bool) {
	at, known := k.index[id]
	if !known {
		return false
	}
	s := &k.nodes[at].synced
	s.told = max(s.told, p.Upto)
	s.seen, s.floor = max(s.seen, p.Seen), max(s.floor, p.Floor)
	return p.Seen == 0 && len(p.Marks) > 0
}

// MergeMarks takes all marks of a store's ledger, read after its interval on the same connection: from now on this router
// knows what the store knew.
func (k *Coordinator) MergeMarks(now time.Duration, id routing.EndpointID, marks []PurgeMark, whole bool) {
	k.now = max(now, k.now)
	at, known := k.index[id]
	if !known || !k.nodes[at].synced.taking {
		return
	}
	s := &k.nodes[at].synced
	s.taking = false
	if !whole || len(marks)+len(k.ledger.marks) > marksKept {
		// More than can be kept: what was stored before this router's start stays unproved here.
		s.vast = true
		return
	}
	for _, m := range marks {
		k.ledger.add(m)
	}
	k.ledger.since = min(k.ledger.since, max(s.floor, k.ledger.dead(k.wall())))
}
