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

// Invalidation is one purge: of an object, or of a group where the object is 0.
type Invalidation struct {
	Object   routing.ObjectID
	Group    routing.GroupID
	IssuedAt Timestamp
}

const (
	// maxInvalidations bounds a ledger: a purge a second for over an hour. What falls out shortens the interval.
	maxInvalidations = 4096
	// maxClockSkew is how far the clocks of routers, origin and purger may be apart.
	maxClockSkew Timestamp = 500
	// A young router leaves it for so long to older ones to join the store's interval to this moment, before it gives
	// up what was stored earlier: they write at least each beat.
	takeoverDelay = 5 * time.Second
)

// LogSyncInterval is how often a store's interval is read and moved on; a purge moves it at once. Half of what late starters wait.
const LogSyncInterval = time.Second

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

type invalidationLog struct {
	completeFrom Timestamp // every purge told from here
	completeTo   Timestamp // to here is known
	life         time.Duration
	byObj        map[routing.ObjectID]Timestamp
	byGrp        map[routing.GroupID]Timestamp
	marks        []Invalidation // in the order in which they were told
	passed       int            // marks that have fallen out, so that places in the order stay true
}

func newLedger(start Timestamp, life time.Duration) invalidationLog {
	return invalidationLog{completeFrom: start, completeTo: start, life: life, byObj: map[routing.ObjectID]Timestamp{}, byGrp: map[routing.GroupID]Timestamp{}}
}

// last is the latest purge of an object or its group.
func (l *invalidationLog) last(o routing.ObjectID, g routing.GroupID) Timestamp {
	return max(l.byObj[o], l.byGrp[g])
}

// newer says whether a copy is newer than every purge that is known.
func (l *invalidationLog) newer(o routing.ObjectID, g routing.GroupID, born Timestamp) bool {
	return born > l.last(o, g)
}

// proves says whether a copy is newer than every purge that there was: this router must know all purges since the moment
// before which none can have been missed.
func (l *invalidationLog) proves(o routing.ObjectID, g routing.GroupID, born, valid Timestamp) bool {
	return max(born, valid) >= l.completeFrom+maxClockSkew && l.newer(o, g, born)
}

// add takes a purge, if it says anything new.
func (l *invalidationLog) add(m Invalidation) bool {
	if m.Object != 0 {
		if l.byObj[m.Object] >= m.IssuedAt {
			return false
		}
		l.byObj[m.Object] = m.IssuedAt
	} else {
		if l.byGrp[m.Group] >= m.IssuedAt {
			return false
		}
		l.byGrp[m.Group] = m.IssuedAt
	}
	l.marks = append(l.marks, m)
	if len(l.marks) > maxInvalidations {
		l.drop(len(l.marks)-maxInvalidations, true)
	}
	return true
}

// drop forgets the first marks. Where they might still matter, the interval begins after them.
func (l *invalidationLog) drop(n int, matter bool) {
	for _, m := range l.marks[:n] {
		if matter {
			l.completeFrom = max(l.completeFrom, m.IssuedAt+1)
		}
		switch {
		case m.Object != 0 && l.byObj[m.Object] == m.IssuedAt:
			delete(l.byObj, m.Object)
		case m.Object == 0 && l.byGrp[m.Group] == m.IssuedAt:
			delete(l.byGrp, m.Group)
		}
	}
	l.marks = slices.Delete(l.marks, 0, n)
	l.passed += n
}

// age forgets what no copy can be as old as.
func (l *invalidationLog) age(now Timestamp) {
	n := 0
	for n < len(l.marks) && l.marks[n].IssuedAt < l.dead(now) {
		n++
	}
	if n > 0 {
		l.drop(n, false)
	}
}

// dead is the time before which no copy that is still in a store can be born.
func (l *invalidationLog) dead(now Timestamp) Timestamp {
	return now - Timestamp(l.life/ms) - 2*maxClockSkew - Timestamp(takeoverDelay/ms)
}

// RecordInvalidation takes a purge that was told, and says whether the stores are to hear of it now.
func (k *Coordinator) RecordInvalidation(now time.Duration, m Invalidation) bool {
	k.now = max(now, k.now)
	k.log.age(k.wallClock())
	return k.log.add(m)
}

// DiscoveryCurrent says that whatever was told before a moment is known.
func (k *Coordinator) DiscoveryCurrent(asOf Timestamp) {
	k.log.completeTo = max(k.log.completeTo, asOf)
}

// DiscoveryGap says that purges may have been told of which this router will never know, up to now.
func (k *Coordinator) DiscoveryGap(now time.Duration) {
	k.now = max(now, k.now)
	k.log.completeFrom = k.wallClock()
	k.log.completeTo = max(k.log.completeTo, k.log.completeFrom)
}

// ClockStepped says that the wall clock was set by so much. What was stamped before and what is stamped from now on cannot be
// compared: nothing that was stored until now is proved any more, until the clock has passed both readings.
func (k *Coordinator) ClockStepped(now, by time.Duration) {
	k.now = max(now, k.now)
	before := k.wallClock()
	k.settings.Epoch += Timestamp(by / ms)
	k.log.completeFrom = max(before, k.wallClock())
	k.log.completeTo = max(k.log.completeTo, k.log.completeFrom)
}

// isInFuture says whether a copy's stamps lie in the future: a clock has been set back since, and they prove nothing.
func (k *Coordinator) isInFuture(born, valid Timestamp) bool {
	return max(born, valid) > k.wallClock()+maxClockSkew
}

// LogRange is what a store's ledger says of itself; one without an end has none.
type LogRange struct{ CompleteFrom, CompleteTo Timestamp }

// LogUpdate is what a router writes into a store's ledger, in one command, or that it wants all its marks first.
type LogUpdate struct {
	NeedsAll      bool
	Invalidations []Invalidation
	CompleteFrom  Timestamp // 0: as it is
	CompleteTo    Timestamp // 0: as it is
	WrittenUpTo   int       // to be told to Wrote
	TrimBefore    Timestamp // marks before this may be dropped from the store; 0: none now
}

// PlanLogUpdate takes a store's interval, as read on this connection, and says what to write. Lent until the next call.
func (k *Coordinator) PlanLogUpdate(now time.Duration, id routing.EndpointID, i LogRange) LogUpdate {
	k.now = max(now, k.now)
	at, known := k.storeIndex[id]
	if !known {
		return LogUpdate{}
	}
	n, l := &k.stores[at], &k.log
	l.age(k.wallClock())
	s := &n.logSync
	if !s.read {
		s.up, s.told = k.now, l.passed
	}
	if s.read && s.has && i.CompleteTo < s.seen && i.CompleteTo > 0 {
		s.told = l.passed // the store went back behind our back: all is written anew
	}
	lost := s.read && s.has && i.CompleteTo == 0
	s.read, s.has, s.floor, s.seen = true, i.CompleteTo > 0, i.CompleteFrom, i.CompleteTo
	k.charge(n, 2)
	if lost {
		s.told = l.passed
		k.link(&Event{Kind: EventDataLost, Endpoint: id})
	}
	switch {
	case s.has && !s.vast && l.completeFrom > max(s.floor, l.dead(k.wallClock())) && s.seen >= l.completeFrom+maxClockSkew:
		s.taking = true
		return LogUpdate{NeedsAll: true}
	case s.has && !touches(l.completeFrom, s.seen) && k.now-s.up < takeoverDelay:
		return LogUpdate{}
	}
	p := LogUpdate{CompleteTo: min(max(l.completeTo, l.completeFrom), k.wallClock()+maxClockSkew), WrittenUpTo: l.passed + len(l.marks)}
	s.told = max(s.told, l.passed)
	p.Invalidations = l.marks[s.told-l.passed:]
	if len(p.Invalidations) > maxInvalidationsPerUpdate {
		// Seen must not pass what has not been written.
		p.Invalidations, p.CompleteTo, p.WrittenUpTo = p.Invalidations[:maxInvalidationsPerUpdate], 0, s.told+maxInvalidationsPerUpdate
	}
	if !s.has || !touches(l.completeFrom, s.seen) {
		p.CompleteFrom = l.completeFrom
		if p.CompleteTo == 0 {
			p.CompleteFrom = 0 // the interval is told with its last marks
		}
	}
	if k.now-s.up > takeoverDelay {
		p.TrimBefore = l.dead(k.wallClock())
	}
	return p
}

// touches says whether knowledge from a moment on joins an interval that ends at another without a hole.
var touches = func(since, seen Timestamp) bool { return since <= seen }

// maxInvalidationsPerUpdate is how many marks go in one command: some 30 KB.
const maxInvalidationsPerUpdate = 1000

// LogUpdateWritten says that what a plan held is in the store, and whether there is more to write at once.
func (k *Coordinator) LogUpdateWritten(id routing.EndpointID, p LogUpdate) (more bool) {
	at, known := k.storeIndex[id]
	if !known {
		return false
	}
	s := &k.stores[at].logSync
	s.told = max(s.told, p.WrittenUpTo)
	s.seen, s.floor = max(s.seen, p.CompleteTo), max(s.floor, p.CompleteFrom)
	return p.CompleteTo == 0 && len(p.Invalidations) > 0
}

// MergeInvalidations takes all marks of a store's ledger, read after its interval on the same connection: from now on this router
// knows what the store knew.
func (k *Coordinator) MergeInvalidations(now time.Duration, id routing.EndpointID, marks []Invalidation, whole bool) {
	k.now = max(now, k.now)
	at, known := k.storeIndex[id]
	if !known || !k.stores[at].logSync.taking {
		return
	}
	s := &k.stores[at].logSync
	s.taking = false
	if !whole || len(marks)+len(k.log.marks) > maxInvalidations {
		// More than can be kept: what was stored before this router's start stays unproved here.
		s.vast = true
		return
	}
	for _, m := range marks {
		k.log.add(m)
	}
	k.log.completeFrom = min(k.log.completeFrom, max(s.floor, k.log.dead(k.wallClock())))
}
